package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"fescuespar/internal/adapters/enginehttp"
)

// keepAliveInterval is the longest time between two lines of a stream while
// its engine is alive.
const keepAliveInterval = 100 * time.Millisecond

// streamView is the part of a stream that can be sent to a reader now.
type streamView struct {
	lines         []enginehttp.Line
	offset        int // position after the lines
	end           *enginehttp.End
	removed       bool
	cutConnection bool // close the connection after the lines
	frozen        bool
	streamChanged <-chan struct{} // closed when the stream changes
	engineChanged <-chan struct{} // closed when the engine changes
}

// serveLines sends a stream from an offset on, up to its end mark. It closes
// the connection if the stream is removed or a fault requires it.
func (e *Engine) serveLines(w http.ResponseWriter, r *http.Request, s *stream, offset int) {
	w.Header().Set("Content-Type", "application/jsonlines")
	out := json.NewEncoder(w)
	flush := http.NewResponseController(w).Flush
	_ = flush()
	sent := 0
	for {
		v := e.readStream(s, offset, sent)
		for _, line := range v.lines {
			_ = out.Encode(line)
		}
		sent += v.offset - offset
		offset = v.offset
		if v.end != nil {
			_ = out.Encode(enginehttp.Line{End: v.end})
			return
		}
		_ = flush()
		if v.removed || v.cutConnection {
			panic(http.ErrAbortHandler)
		}
		switch e.waitForChange(r, v) {
		case waitEnded:
			panic(http.ErrAbortHandler)
		case waitKeepAlive:
			_ = out.Encode(enginehttp.Line{})
		}
	}
}

// readStream returns what can be sent from an offset on. sent is the number of
// tokens already sent on this connection.
func (e *Engine) readStream(s *stream, offset, sent int) streamView {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := streamView{offset: offset, removed: s.removed, frozen: e.faults.Freeze, streamChanged: s.changed, engineChanged: e.changed}
	if v.removed || v.frozen {
		return v
	}
	limit := 0
	if cut := e.faults.CutAfter; cut > 0 {
		limit = max(1, cut-sent)
	}
	v.lines = s.lines(offset, limit)
	for _, line := range v.lines {
		v.offset += len(line.Tokens)
	}
	if limit > 0 && sent+v.offset-offset >= e.faults.CutAfter {
		e.faults.CutAfter = 0
		v.cutConnection = true
		return v
	}
	if s.isDone() && v.offset >= s.answerLength {
		v.end = &enginehttp.End{FinishReason: string(s.finish), Tokens: s.answerLength}
	}
	return v
}

// waitResult is the reason why a wait ended.
type waitResult int

const (
	waitChanged   waitResult = iota // the stream or the engine changed
	waitKeepAlive                   // a keep-alive line is due
	waitEnded                       // the connection or the engine was closed
)

func (e *Engine) waitForChange(r *http.Request, v streamView) waitResult {
	timer := time.NewTimer(keepAliveInterval)
	defer timer.Stop()
	alive := timer.C
	if v.frozen {
		alive = nil
	}
	select {
	case <-v.streamChanged:
		return waitChanged
	case <-v.engineChanged:
		return waitChanged
	case <-alive:
		return waitKeepAlive
	case <-r.Context().Done():
		return waitEnded
	case <-e.ctx.Done():
		return waitEnded
	}
}
