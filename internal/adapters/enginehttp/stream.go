package enginehttp

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"fescuespar/internal/adapters/serverhttp"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
)

// errSilent is the cause of a stream's end when the engine sent nothing for
// the client's timeout.
var errSilent = errors.New("no line within the timeout")

// streamCall is a request that is answered with lines.
type streamCall struct {
	method string
	url    string
	body   any
	offset int // of the first token expected
}

// stream sends the call and feeds the chunks to the sink until the end mark.
func (c *Client) stream(ctx context.Context, server core.VM, call streamCall, sink ports.ChunkSink) (core.StreamEnd, error) {
	streamCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(c.timeout, func() { cancel(errSilent) })
	defer silence.Stop()
	request, err := serverhttp.NewJSONRequest(streamCtx, call.method, call.url, call.body)
	if err != nil {
		return core.StreamEnd{}, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return core.StreamEnd{}, serverhttp.TransportError(ctx, server, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return core.StreamEnd{}, serverhttp.RefusalError(server, response)
	}
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, MaxLineBytes)
	lines := &lineReader{
		ctx: ctx, server: server, scanner: scanner, offset: call.offset,
		silence: silence, timeout: c.timeout,
	}
	return lines.run(sink)
}

// lineReader decodes the lines of one stream and checks that its chunks follow
// each other without gap or repeat.
type lineReader struct {
	ctx     context.Context
	server  core.VM
	scanner *bufio.Scanner
	offset  int // of the next token
	silence *time.Timer
	timeout time.Duration
}

// run feeds chunks to the sink until the end mark. The time that the sink takes
// does not count as the engine's silence.
func (r *lineReader) run(sink ports.ChunkSink) (core.StreamEnd, error) {
	for {
		line, err := r.next()
		if err != nil {
			return core.StreamEnd{}, err
		}
		if line.End != nil {
			return r.end(*line.End)
		}
		if len(line.Tokens) == 0 {
			continue
		}
		if err := r.chunk(line, sink); err != nil {
			return core.StreamEnd{}, err
		}
	}
}

// next returns the next line. A stream that ends without an end mark is cut.
func (r *lineReader) next() (Line, error) {
	var line Line
	r.silence.Reset(r.timeout)
	more := r.scanner.Scan()
	r.silence.Stop()
	if !more {
		err := r.scanner.Err()
		if err == nil {
			err = io.ErrUnexpectedEOF
		}
		return line, serverhttp.TransportError(r.ctx, r.server, err)
	}
	err := json.Unmarshal(r.scanner.Bytes(), &line)
	return line, errkind.Wrap(errkind.ServerFailed, err, "line of engine %s", r.server.ID)
}

func (r *lineReader) chunk(line Line, sink ports.ChunkSink) error {
	if line.Offset != r.offset {
		return errkind.New(errkind.ServerFailed, "engine %s sent offset %d, want %d", r.server.ID, line.Offset, r.offset)
	}
	r.offset += len(line.Tokens)
	return sink(core.Chunk{Offset: line.Offset, Tokens: line.Tokens, Version: line.WeightVersion})
}

func (r *lineReader) end(end End) (core.StreamEnd, error) {
	finish := core.FinishReason(end.FinishReason)
	if end.Tokens != r.offset || (finish != core.FinishStop && finish != core.FinishLength) {
		return core.StreamEnd{}, errkind.New(errkind.ServerFailed,
			"engine %s ended with %d tokens and reason %q after offset %d", r.server.ID, end.Tokens, end.FinishReason, r.offset)
	}
	return core.StreamEnd{Finish: finish, Tokens: end.Tokens}, nil
}
