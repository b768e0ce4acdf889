package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"fescuespar/internal/adapters/enginehttp"
)

// aliveInterval is the longest silence of a stream while its engine is alive.
const aliveInterval = 100 * time.Millisecond

// view is what a reader can send of a stream at a moment.
type view struct {
	lines   []enginehttp.Line
	offset  int // after the lines
	end     *enginehttp.End
	gone    bool
	cut     bool // cut the connection after the lines
	frozen  bool
	changed <-chan struct{} // of the stream
	faults  <-chan struct{} // of the engine
}

// serveLines sends a stream from an offset on until its end mark. The
// connection is cut when the stream is gone or a fault order says so.
func (e *Engine) serveLines(w http.ResponseWriter, r *http.Request, s *stream, offset int) {
	w.Header().Set("Content-Type", "application/jsonlines")
	out := json.NewEncoder(w)
	flush := http.NewResponseController(w).Flush
	_ = flush()
	sent := 0
	for {
		v := e.look(s, offset, sent)
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
		if v.gone || v.cut {
			panic(http.ErrAbortHandler)
		}
		switch e.waitNews(r, v) {
		case newsEnded:
			panic(http.ErrAbortHandler)
		case newsNone:
			_ = out.Encode(enginehttp.Line{})
		}
	}
}

// look returns what can be sent after an offset; sent counts the tokens that
// this connection has carried.
func (e *Engine) look(s *stream, offset, sent int) view {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := view{offset: offset, gone: s.gone, frozen: e.faults.Freeze, changed: s.changed, faults: e.changed}
	if v.gone || v.frozen {
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
		v.cut = true
		return v
	}
	if s.done() && v.offset >= s.length {
		v.end = &enginehttp.End{FinishReason: string(s.finish), Tokens: s.length}
	}
	return v
}

// news tells why a wait ended.
type news int

const (
	newsChange news = iota // the stream or engine changed
	newsNone               // time to show that the engine is alive
	newsEnded              // the connection or the engine has ended
)

func (e *Engine) waitNews(r *http.Request, v view) news {
	timer := time.NewTimer(aliveInterval)
	defer timer.Stop()
	alive := timer.C
	if v.frozen {
		alive = nil
	}
	select {
	case <-v.changed:
		return newsChange
	case <-v.faults:
		return newsChange
	case <-alive:
		return newsNone
	case <-r.Context().Done():
		return newsEnded
	case <-e.ctx.Done():
		return newsEnded
	}
}
