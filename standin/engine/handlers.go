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

// Paths of the fault orders.
const (
	FaultsPath = "/control/faults" // POST Faults
	RevivePath = "/control/revive" // POST
	CountsPath = "/control/counts" // GET Counts
)

func (e *Engine) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+enginehttp.GeneratePath, e.faulty(e.serveGenerate))
	mux.HandleFunc("GET "+enginehttp.StreamPath+"{id}", e.faulty(e.serveResume))
	mux.HandleFunc("DELETE "+enginehttp.StreamPath+"{id}", e.faulty(e.serveCancel))
	mux.HandleFunc("GET "+enginehttp.StatusPath, e.faulty(e.serveStatus))
	mux.HandleFunc("POST "+enginehttp.OrderPath, e.faulty(e.serveOrder))
	mux.HandleFunc("POST "+FaultsPath, e.serveFaults)
	mux.HandleFunc("POST "+RevivePath, func(http.ResponseWriter, *http.Request) { e.Revive() })
	mux.HandleFunc("GET "+CountsPath, func(w http.ResponseWriter, _ *http.Request) { httpjson.Write(w, e.Counts()) })
	return mux
}

// faulty applies the fault orders that hold for every request.
func (e *Engine) faulty(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if e.waitUntil(r.Context(), func() bool { return !e.faults.Freeze }) != nil {
			return
		}
		dead, delay := e.state()
		if dead {
			httpjson.Refuse(w, httpjson.NotRun("engine is down"))
			return
		}
		if httpjson.Sleep(r.Context(), delay) == nil {
			next(w, r)
		}
	}
}

func (e *Engine) state() (dead bool, delay time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dead, time.Duration(e.faults.DelayMillis) * time.Millisecond
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var body enginehttp.GenerateBody
	if !httpjson.Read(w, r, &body) {
		return
	}
	s, refused := e.accept(body)
	if refused != nil {
		httpjson.Refuse(w, refused)
		return
	}
	defer e.detach(s)
	e.serveLines(w, r, s, s.base)
}

// accept queues a new stream with one reader.
func (e *Engine) accept(body enginehttp.GenerateBody) (*stream, *httpjson.Refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case body.Stream == "" || body.MaxTokens <= 0:
		return nil, httpjson.BadRequest("stream id and max_tokens are required")
	case e.faults.Refuse || e.dead:
		return nil, httpjson.NotRun("engine refuses streams")
	case body.Model != string(e.model) || !e.holds(core.AdapterName(body.Adapter)):
		return nil, httpjson.NotRun("engine does not hold that model and adapter")
	case e.streams[body.Stream] != nil:
		return nil, httpjson.NotRun("stream id is in use")
	case len(e.queued) >= e.options.MaxQueued:
		return nil, httpjson.NotRun("queue is full")
	}
	e.arrivals++
	s := newStream(body, e.arrivals)
	e.attach(s)
	e.streams[body.Stream] = s
	e.queued = append(e.queued, s)
	e.counts.Streams++
	e.wakeBatch()
	return s, nil
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil {
		httpjson.Refuse(w, httpjson.BadRequest("offset is not a number"))
		return
	}
	s, refused := e.find(r.PathValue("id"), offset)
	if refused != nil {
		httpjson.Refuse(w, refused)
		return
	}
	defer e.detach(s)
	e.serveLines(w, r, s, offset)
}

// find returns a stream with one more reader.
func (e *Engine) find(id string, offset int) (*stream, *httpjson.Refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[id]
	if s == nil {
		return nil, unknownStream()
	}
	if offset < s.base || offset > s.length {
		return nil, httpjson.BadRequest("offset outside of the stream")
	}
	e.attach(s)
	return s, nil
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s := e.streams[r.PathValue("id")]
	if s != nil {
		e.drop(s)
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
	status := e.report
	if e.options.ReportInterval == 0 {
		status = e.statusNow()
	}
	status.CacheEvents, status.NextEvent = e.cache.since(cursor, time.Now())
	return status
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order enginehttp.OrderBody
	if !httpjson.Read(w, r, &order) {
		return
	}
	refused, drop := e.takeOrder(order)
	if refused != nil {
		httpjson.Refuse(w, refused)
		return
	}
	if drop {
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
		Status: http.StatusNotFound, Kind: serverhttp.RefusalUnknownStream, Message: "no such stream",
	}
}
