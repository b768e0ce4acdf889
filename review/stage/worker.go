package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in of a worker: a plain one, or an engine that streams events.
type worker struct {
	site    *site
	id      string
	service string
	slots   int
	model   string // of an engine; empty for a plain worker
	address string
	places  chan struct{}

	work     time.Duration            // of a plain request
	events   int                      // of a whole stream
	interval time.Duration            // between events
	size     int                      // bytes of an event's data; zero for a short text
	hangs    func(*http.Request) bool // whether a request is never answered; nil for none
	crashes  func(*http.Request) bool // whether a request crashes the worker; nil for none

	// mu guards the fields below.
	mu     sync.Mutex
	runs   []*run
	server *http.Server
}

// run is a request on which the worker began to work.
type run struct {
	id, worker string
	path       string
	began      time.Time
	ended      time.Time // zero while the worker works on it
	complete   bool      // the worker made its whole answer
}

// start starts the worker and its registration.
func (w *worker) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.address, w.places = listener.Addr().String(), make(chan struct{}, w.slots)
	server := &http.Server{Handler: http.HandlerFunc(w.serve)}
	w.mu.Lock()
	w.server = server
	w.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	entry := map[string]any{
		"Service": w.service, "Address": w.address, "Zone": "qc-est-a", "Version": "v1", "Slots": w.slots, "State": "ready",
		"ColdRemainingMs": 0, "SeqNo": 0, "born": time.Now().UnixMilli(),
	}
	if w.model != "" {
		entry["Stage"], entry["Models"] = "dual", w.models()
	}
	w.site.store.write("servers", w.id, entry)
	go func() {
		for number := 1; ; number++ {
			time.Sleep(heartbeat)
			if w.isDown(server) {
				return
			}
			entry["SeqNo"] = number
			w.site.store.write("servers", w.id, entry)
		}
	}()
	return nil
}

// heartbeat is HeartbeatMs of the settings.
const heartbeat = 1200 * time.Millisecond

// isDown reports whether the start of the worker that a server belongs to has ended.
func (w *worker) isDown(server *http.Server) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.server != server
}

// crash ends the worker: its connections are reset and its address takes none. Its
// registration lapses after three heartbeats.
func (w *worker) crash() {
	w.mu.Lock()
	server, id := w.server, w.id
	w.server = nil
	w.mu.Unlock()
	_ = server.Close()
	w.site.log("worker crashes", "worker", id)
	time.AfterFunc(3*heartbeat, func() { w.site.store.remove("servers", id) })
}

func (w *worker) models() []any {
	return []any{map[string]any{"Name": w.model, "Version": 1, "Adapters": []string{}}}
}

// queued is the number of requests that may wait for a slot.
const queued = 36

func (w *worker) serve(out http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		out.Header().Set("Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		out.Header().Set("Instance-Id", w.id)
		return
	case "/api/report":
		out.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(out).Encode(map[string]any{
			"Stage": "dual", "Models": w.models(), "Busy": false, "SeqNo": 0, "Waiting": 0, "Running": len(w.places),
			"KvUsed": 0, "KvTotal": 90000, "Handles": 0,
		})
		return
	}
	out.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	select {
	case w.places <- struct{}{}:
	default:
		wait := time.NewTimer(4 * time.Second)
		defer wait.Stop()
		select {
		case w.places <- struct{}{}:
		case <-r.Context().Done():
			return
		case <-wait.C:
			out.Header().Set("Not-Executed", "1")
			out.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	defer func() { <-w.places }()
	current := w.begin(r)
	complete := false
	defer func() { w.end(current, complete) }()
	if w.hangs != nil && w.hangs(r) {
		w.site.log("worker hangs", "worker", w.id, "request", current.id)
		<-r.Context().Done()
		return
	}
	if w.crashes != nil && w.crashes(r) {
		w.crash()
		return
	}
	out.Header().Set("Server-Stamp", "stamp-"+r.Header.Get("Attempt-Id"))
	if w.model != "" {
		complete = w.stream(out, r)
		return
	}
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		return
	}
	_, err := fmt.Fprintf(out, "answer to %s", r.Header.Get("Attempt-Id"))
	complete = err == nil
}

// stream sends the events after Last-Event-Id.
func (w *worker) stream(out http.ResponseWriter, r *http.Request) bool {
	out.Header().Set("Content-Type", "text/event-stream")
	out.Header().Set("Weight-Versions", "1")
	control := http.NewResponseController(out)
	if control.Flush() != nil {
		return false
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for id := after + 1; id <= w.events; id++ {
		select {
		case <-time.After(w.interval):
		case <-r.Context().Done():
			return false
		}
		data := fmt.Sprintf("token %d of %s", id, r.Header.Get("Attempt-Id"))
		data += strings.Repeat(".", max(0, w.size-len(data)))
		if _, err := fmt.Fprintf(out, "id: %d\ndata: %s\n\n", id, data); err != nil || control.Flush() != nil {
			return false
		}
	}
	return true
}

func (w *worker) begin(r *http.Request) *run {
	current := &run{id: r.Header.Get("Attempt-Id"), worker: w.id, path: r.URL.Path, began: time.Now()}
	w.mu.Lock()
	w.runs = append(w.runs, current)
	w.mu.Unlock()
	w.site.log("worker begins", "worker", w.id, "request", current.id, "path", current.path)
	return current
}

func (w *worker) end(current *run, complete bool) {
	w.mu.Lock()
	current.ended, current.complete = time.Now(), complete
	w.mu.Unlock()
	w.site.log("worker ends", "worker", w.id, "request", current.id, "complete", complete)
}

// runsOf returns copies of all runs of the workers.
func runsOf(workers []*worker) []run {
	var all []run
	for _, w := range workers {
		w.mu.Lock()
		for _, current := range w.runs {
			all = append(all, *current)
		}
		w.mu.Unlock()
	}
	return all
}
