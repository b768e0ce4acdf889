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

// errLineTimeout is the cancellation cause of a stream on which no line arrived
// within the client's timeout.
var errLineTimeout = errors.New("engine sent no line within the timeout")

// streamCall is a request whose response is a stream of lines.
type streamCall struct {
	method string
	url    string
	body   any
	offset int // expected offset of the first token
}

// stream sends the call and passes the chunks of the response to the sink until the
// end mark.
func (c *Client) stream(ctx context.Context, server core.VM, call streamCall, sink ports.ChunkSink) (core.StreamEnd, error) {
	streamCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	lineTimer := time.AfterFunc(c.timeout, func() { cancel(errLineTimeout) })
	defer lineTimer.Stop()
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
		lineTimer: lineTimer, timeout: c.timeout,
	}
	return lines.run(sink)
}

// lineReader decodes the lines of one stream and checks that its chunks are
// contiguous.
type lineReader struct {
	ctx       context.Context
	server    core.VM
	scanner   *bufio.Scanner
	offset    int // expected offset of the next token
	lineTimer *time.Timer
	timeout   time.Duration
}

// run passes chunks to the sink until the end mark. The line timeout does not
// include the time that the sink takes.
func (r *lineReader) run(sink ports.ChunkSink) (core.StreamEnd, error) {
	for {
		line, err := r.readLine()
		if err != nil {
			return core.StreamEnd{}, err
		}
		if line.End != nil {
			return r.checkEnd(*line.End)
		}
		if len(line.Tokens) == 0 {
			continue
		}
		if err := r.deliverChunk(line, sink); err != nil {
			return core.StreamEnd{}, err
		}
	}
}

// readLine waits for the next line. It returns an error if the stream ends, because
// the end mark is still missing then.
func (r *lineReader) readLine() (Line, error) {
	var line Line
	r.lineTimer.Reset(r.timeout)
	more := r.scanner.Scan()
	r.lineTimer.Stop()
	if !more {
		err := r.scanner.Err()
		if err == nil {
			err = io.ErrUnexpectedEOF
		}
		return line, serverhttp.TransportError(r.ctx, r.server, err)
	}
	err := json.Unmarshal(r.scanner.Bytes(), &line)
	return line, errkind.Wrap(errkind.ServerFailed, err, "decode stream line of engine %s", r.server.ID)
}

func (r *lineReader) deliverChunk(line Line, sink ports.ChunkSink) error {
	if line.Offset != r.offset {
		return errkind.New(errkind.ServerFailed, "engine %s sent a chunk at offset %d, want %d", r.server.ID, line.Offset, r.offset)
	}
	r.offset += len(line.Tokens)
	return sink(core.Chunk{Offset: line.Offset, Tokens: line.Tokens, Version: line.WeightVersion})
}

func (r *lineReader) checkEnd(end End) (core.StreamEnd, error) {
	finish := core.FinishReason(end.FinishReason)
	if end.Tokens != r.offset || (finish != core.FinishStop && finish != core.FinishLength) {
		return core.StreamEnd{}, errkind.New(errkind.ServerFailed,
			"engine %s sent an end mark with %d tokens and finish reason %q after %d tokens", r.server.ID, end.Tokens, end.FinishReason, r.offset)
	}
	return core.StreamEnd{Finish: finish, Tokens: end.Tokens}, nil
}
