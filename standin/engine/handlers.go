package engine

import (
	"net/http"
	"strconv"
	"time"

	"fescuespar/internal/adapters/enginehttp"
	"fescuespar/internal/adapters/serverhttp"
	"fescuespar/internal/core"
	"fescuespar/standin/httpjson"
)

// Paths of the control requests.
const (
	FaultsPath = "/control/faults" // POST Faults
	RevivePath = "/control/revive" // POST
	CountsPath = "/control/counts" // GET Counts
)

func (e *Engine) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+enginehttp.GeneratePath, e.withFaults(e.serveGenerate))
	mux.HandleFunc("GET "+enginehttp.StreamPath+"{id}", e.withFaults(e.serveResume))
	mux.HandleFunc("DELETE "+enginehttp.StreamPath+"{id}", e.withFaults(e.serveCancel))
	mux.HandleFunc("GET "+enginehttp.StatusPath, e.withFaults(e.serveStatus))
	mux.HandleFunc("POST "+enginehttp.OrderPath, e.withFaults(e.serveOrder))
	mux.HandleFunc("POST "+FaultsPath, e.serveFaults)
	mux.HandleFunc("POST "+RevivePath, func(http.ResponseWriter, *http.Request) { e.Revive() })
	mux.HandleFunc("GET "+CountsPath, func(w http.ResponseWriter, _ *http.Request) { httpjson.Write(w, e.Counts()) })
	return mux
}

// withFaults applies the faults that affect every request of the engine
// protocol.
func (e *Engine) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if e.waitUntil(r.Context(), func() bool { return !e.faults.Freeze }) != nil {
			return
		}
		dead, delay := e.crashedAndDelay()
		if dead {
			httpjson.Refuse(w, httpjson.NotRun("engine has crashed (injected fault)"))
			return
		}
		if httpjson.Sleep(r.Context(), delay) == nil {
			next(w, r)
		}
	}
}

func (e *Engine) crashedAndDelay() (dead bool, delay time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashed, time.Duration(e.faults.DelayMillis) * time.Millisecond
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var body enginehttp.GenerateBody
	if !httpjson.Read(w, r, &body) {
		return
	}
	s, refused := e.acceptStream(body)
	if refused != nil {
		httpjson.Refuse(w, refused)
		return
	}
	defer e.removeReader(s)
	e.serveLines(w, r, s, s.prefixLength)
}

// acceptStream queues a new stream and counts the request as its first reader.
func (e *Engine) acceptStream(body enginehttp.GenerateBody) (*stream, *httpjson.Refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case body.Stream == "" || body.MaxTokens <= 0:
		return nil, httpjson.BadRequest("stream id and max_tokens are required")
	case e.faults.Refuse || e.crashed:
		return nil, httpjson.NotRun("engine refuses streams (injected fault)")
	case body.Model != string(e.model) || !e.holdsAdapter(core.AdapterName(body.Adapter)):
		return nil, httpjson.NotRun("engine does not serve the requested model and adapter")
	case e.streams[body.Stream] != nil:
		return nil, httpjson.NotRun("stream id is already in use")
	case len(e.queued) >= e.options.MaxQueued:
		return nil, httpjson.NotRun("engine queue is full")
	}
	e.arrivalCount++
	s := newStream(body, e.arrivalCount)
	e.addReader(s)
	e.streams[body.Stream] = s
	e.queued = append(e.queued, s)
	e.counts.Streams++
	e.wakeBatch()
	return s, nil
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil {
		httpjson.Refuse(w, httpjson.BadRequest("query parameter offset is not an integer"))
		return
	}
	s, refused := e.findStream(r.PathValue("id"), offset)
	if refused != nil {
		httpjson.Refuse(w, refused)
		return
	}
	defer e.removeReader(s)
	e.serveLines(w, r, s, offset)
}

// findStream returns a stream and counts the request as a reader of it.
func (e *Engine) findStream(id string, offset int) (*stream, *httpjson.Refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[id]
	if s == nil {
		return nil, unknownStream()
	}
	if offset < s.prefixLength || offset > s.answerLength {
		return nil, httpjson.BadRequest("offset is outside the stream")
	}
	e.addReader(s)
	return s, nil
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s := e.streams[r.PathValue("id")]
	if s != nil {
		e.removeStream(s)
		e.wakeBatch()
	}
	e.mu.Unlock()
	if s == nil {
		httpjson.Refuse(w, unknownStream())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveStatus(w http.ResponseWriter, r *http.Request) {
	cursor, _ := strconv.ParseUint(r.URL.Query().Get("cursor"), 10, 64)
	httpjson.Write(w, e.statusSince(cursor))
}

func (e *Engine) statusSince(cursor uint64) enginehttp.StatusBody {
	e.mu.Lock()
	defer e.mu.Unlock()
	status := e.lastReport
	if e.options.ReportInterval == 0 {
		status = e.currentStatus()
	}
	status.CacheEvents, status.NextEvent = e.cache.eventsSince(cursor, time.Now())
	return status
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order enginehttp.OrderBody
	if !httpjson.Read(w, r, &order) {
		return
	}
	refused, dropReply := e.handleOrder(order)
	if refused != nil {
		httpjson.Refuse(w, refused)
		return
	}
	if dropReply {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusAccepted)
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if httpjson.Read(w, r, &faults) {
		e.SetFaults(faults)
	}
}

func unknownStream() *httpjson.Refusal {
	return &httpjson.Refusal{
		Status: http.StatusNotFound, Kind: serverhttp.RefusalUnknownStream, Message: "stream not found",
	}
}
