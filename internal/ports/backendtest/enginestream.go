package backendtest

import (
	"context"
	"strings"

	"fescuespar/internal/core"
	"fescuespar/internal/ports"
	"fescuespar/internal/ports/backendtest/tokens"
)

// fakeStream is a stream of a fake engine. It generates its tokens only when
// they are read.
type fakeStream struct {
	request  core.GenerateRequest
	versions []core.WeightVersion // one for each token after the prefix
	removed  bool                 // canceled, or lost in a crash
}

// produced returns the number of tokens of the answer so far, including the
// prefix.
func (f *fakeStream) produced() int { return len(f.request.Prefix) + len(f.versions) }

func (f *fakeStream) end() core.StreamEnd {
	length, finish := tokens.Length(f.request.Prompt, f.request.Seed, f.request.MaxTokens)
	return core.StreamEnd{Finish: finish, Tokens: max(length, len(f.request.Prefix))}
}

// chunk returns up to limit produced tokens of one version from an offset on.
func (f *fakeStream) chunk(offset, limit int) core.Chunk {
	base := len(f.request.Prefix)
	chunk := core.Chunk{Offset: offset, Version: f.versions[offset-base]}
	for at := offset; at < f.produced() && at < offset+limit && f.versions[at-base] == chunk.Version; at++ {
		chunk.Tokens = append(chunk.Tokens, tokens.At(f.request.Prompt, f.request.Seed, at))
	}
	return chunk
}

// acceptStream starts a stream or refuses it.
func (s *EngineServer) acceptStream(server core.VM, request core.GenerateRequest) (stream *fakeStream, err error) {
	s.update(func() {
		_, isExtra := s.extraAdapters[request.Adapter]
		wrongModel := request.Model != s.report.Model || request.Adapter != s.report.Adapter && !isExtra
		if s.faults.Refuse || s.crashed || wrongModel || s.streams[request.Stream] != nil {
			err = refusedError(server)
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

func (s *EngineServer) findStream(id string) *fakeStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streams[id]
}

func (s *EngineServer) removeStream(id string) {
	s.update(func() {
		if stream := s.streams[id]; stream != nil {
			stream.removed = true
			delete(s.streams, id)
		}
	})
}

// streamView is the state of a stream at a reader's offset.
type streamView struct {
	chunk   core.Chunk
	ended   bool
	removed bool
	cut     bool
	changed <-chan struct{}
}

// sendChunks passes the chunks from an offset on to the sink until the stream
// ends.
func (s *EngineServer) sendChunks(ctx context.Context, server core.VM, stream *fakeStream, offset int, sink ports.ChunkSink) (core.StreamEnd, error) {
	for sent := 0; ; {
		if ctx.Err() != nil {
			return core.StreamEnd{}, contextError(ctx, server)
		}
		view := s.readStream(stream, offset, sent)
		switch {
		case view.removed || view.cut:
			return core.StreamEnd{}, connectionCutError(server)
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

// readStream returns the stream's state at an offset after generating tokens up
// to the chunk size. sent is the number of tokens that the reader has got.
func (s *EngineServer) readStream(stream *fakeStream, offset, sent int) streamView {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := streamView{removed: stream.removed, changed: s.changed}
	if view.removed || s.faults.Freeze {
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
	s.generateTokens(stream, min(offset+limit, length))
	if offset < stream.produced() {
		view.chunk = stream.chunk(offset, limit)
	}
	return view
}

// generateTokens generates tokens up to a position, but none from position
// HoldAfter on. The caller holds mu.
func (s *EngineServer) generateTokens(stream *fakeStream, until int) {
	if s.faults.HoldAfter > 0 {
		until = min(until, s.faults.HoldAfter)
	}
	for stream.produced() < until {
		stream.versions = append(stream.versions, s.versionOf(stream.request.Adapter))
		s.counts.Tokens++
	}
}
