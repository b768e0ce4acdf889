package backendtest

import (
	"context"
	"strings"

	"fescuespar/internal/core"
	"fescuespar/internal/ports"
	"fescuespar/internal/ports/backendtest/tokens"
)

// fakeStream is a stream of a fake engine. Its tokens are made when they are
// read, so it goes on only while a reader asks for more.
type fakeStream struct {
	request  core.GenerateRequest
	versions []core.WeightVersion // of each token after the prefix
	gone     bool
}

func (f *fakeStream) produced() int { return len(f.request.Prefix) + len(f.versions) }

func (f *fakeStream) end() core.StreamEnd {
	length, finish := tokens.Length(f.request.Prompt, f.request.Seed, f.request.MaxTokens)
	return core.StreamEnd{Finish: finish, Tokens: max(length, len(f.request.Prefix))}
}

// chunk returns up to limit tokens from an offset on, all of one version.
func (f *fakeStream) chunk(offset, limit int) core.Chunk {
	base := len(f.request.Prefix)
	chunk := core.Chunk{Offset: offset, Version: f.versions[offset-base]}
	for at := offset; at < f.produced() && at < offset+limit && f.versions[at-base] == chunk.Version; at++ {
		chunk.Tokens = append(chunk.Tokens, tokens.At(f.request.Prompt, f.request.Seed, at))
	}
	return chunk
}

// accept starts a stream.
func (s *EngineServer) accept(server core.VM, request core.GenerateRequest) (stream *fakeStream, err error) {
	s.update(func() {
		_, more := s.more[request.Adapter]
		wrongModel := request.Model != s.report.Model || request.Adapter != s.report.Adapter && !more
		if s.faults.Refuse || s.dead || wrongModel || s.streams[request.Stream] != nil {
			err = refusedBy(server)
			return
		}
		stream = &fakeStream{request: request}
		s.streams[request.Stream] = stream
		s.counts.Streams++
		if s.faults.CrashMarker != "" && strings.Contains(request.Prompt, s.faults.CrashMarker) {
			s.crash()
		}
	})
	return stream, err
}

func (s *EngineServer) find(id string) *fakeStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streams[id]
}

func (s *EngineServer) forget(id string) {
	s.update(func() {
		if stream := s.streams[id]; stream != nil {
			stream.gone = true
			delete(s.streams, id)
		}
	})
}

// fakeView is what a reader can take of a stream at a moment.
type fakeView struct {
	chunk   core.Chunk
	ended   bool
	gone    bool
	cut     bool
	changed <-chan struct{}
}

// feed gives the chunks from an offset on to the sink until the end.
func (s *EngineServer) feed(ctx context.Context, server core.VM, stream *fakeStream, offset int, sink ports.ChunkSink) (core.StreamEnd, error) {
	for sent := 0; ; {
		if ctx.Err() != nil {
			return core.StreamEnd{}, contextError(ctx, server)
		}
		view := s.look(stream, offset, sent)
		switch {
		case view.gone || view.cut:
			return core.StreamEnd{}, cutBy(server)
		case view.ended:
			return stream.end(), nil
		case len(view.chunk.Tokens) == 0:
			select {
			case <-view.changed:
			case <-ctx.Done():
			}
			continue
		}
		if err := sink(view.chunk); err != nil {
			return core.StreamEnd{}, err
		}
		offset += len(view.chunk.Tokens)
		sent += len(view.chunk.Tokens)
	}
}

// look returns what follows an offset, and makes tokens if there are none.
func (s *EngineServer) look(stream *fakeStream, offset, sent int) fakeView {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := fakeView{gone: stream.gone, changed: s.changed}
	if view.gone || s.faults.Freeze {
		return view
	}
	limit := s.options.ChunkTokens
	if s.faults.CutAfter > 0 {
		if sent >= s.faults.CutAfter {
			s.faults.CutAfter = 0
			view.cut = true
			return view
		}
		limit = min(limit, s.faults.CutAfter-sent)
	}
	length := stream.end().Tokens
	if offset >= length {
		view.ended = true
		return view
	}
	s.grow(stream, min(offset+limit, length))
	if offset < stream.produced() {
		view.chunk = stream.chunk(offset, limit)
	}
	return view
}

// grow makes tokens up to a position, but none from the hold position on.
func (s *EngineServer) grow(stream *fakeStream, until int) {
	if s.faults.HoldAfter > 0 {
		until = min(until, s.faults.HoldAfter)
	}
	for stream.produced() < until {
		stream.versions = append(stream.versions, s.version(stream.request.Adapter))
		s.counts.Tokens++
	}
}
