package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	modelName = "daka510000"
	eventTime = 20 * time.Millisecond
)

// run is one request that a worker began to run.
type run struct {
	worker  *worker
	id      string // Attempt-Id
	path    string
	began   time.Time
	ended   time.Time // zero while it runs
	outcome string
}

// worker is a stand-in of a backend server: an engine if it has a model, else a plain server.
type worker struct {
	record  *record
	store   *store
	id      string
	service string
	engine  bool
	slots   int
	work    time.Duration // of a request to a plain server
	padding string        // behind the data of each event
	limit   string        // requests a second that it names in its answers; empty for no limit
	address string
	born    int64

	// respond chooses the status of a run, which is the count-th of its id at any worker.
	respond func(id string, count int) int
	// events returns the number of events of an item's text.
	events func(id string) int

	mu       sync.Mutex
	seqNo    uint64
	version  int
	busy     bool
	state    string
	running  chan struct{}
	stopped  chan struct{}
	listener net.Listener
	orders   []orderSeen
}

type orderSeen struct {
	at      time.Time
	holder  string
	fence   uint64
	version int
}

func startWorker(record *record, s *store, id, service string, engine bool, slots int) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		record: record, store: s, id: id, service: service, engine: engine, slots: slots, work: 25 * time.Millisecond,
		address: listener.Addr().String(), born: time.Now().UnixMilli(), version: 1, state: "ready",
		running: make(chan struct{}, slots), stopped: make(chan struct{}), listener: listener,
		respond: func(string, int) int { return http.StatusOK }, events: func(string) int { return 10 },
	}
	w.register()
	go func() {
		for {
			select {
			case <-w.stopped:
				return
			case <-time.After(heartbeat):
				w.register()
			}
		}
	}()
	go func() { _ = http.Serve(listener, w) }()
	return w, nil
}

// register writes the worker's entry into the store.
func (w *worker) register() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seqNo++
	entry := map[string]any{
		"Service": w.service, "Address": w.address, "Zone": "z1", "Version": "v1", "Slots": w.slots, "State": w.state,
		"ColdRemainingMs": 0, "SeqNo": w.seqNo, "born": w.born,
	}
	if w.engine {
		entry["Stage"], entry["Models"] = "dual", w.models()
	}
	w.store.write("servers", w.id, entry)
}

// models returns the models of an engine. The caller holds mu.
func (w *worker) models() []any {
	return []any{map[string]any{"Name": modelName, "Version": w.version, "Adapters": []string{}}}
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		rw.Header().Set("Instance-Id", w.id)
	case "/api/report":
		w.mu.Lock()
		defer w.mu.Unlock()
		reply(rw, http.StatusOK, map[string]any{"Stage": "dual", "Models": w.models(), "Busy": w.busy, "SeqNo": len(w.orders),
			"Waiting": 0, "Running": len(w.running), "KvUsed": 0, "KvTotal": 90000, "Handles": 0})
	case "/api/order":
		w.serveOrder(rw, r)
	default:
		w.serveRequest(rw, r)
	}
}

const loadTime = 900 * time.Millisecond

func (w *worker) serveOrder(rw http.ResponseWriter, r *http.Request) {
	var order struct {
		Opcode, Holder string
		Version        int
		FencingToken   uint64
		ExpectedRev    *uint64
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil || order.Holder == "" {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.logf("order at %s: version %d, holder %s, fence %d", w.id, order.Version, order.Holder, order.FencingToken)
	switch {
	case order.Version == w.version:
		rw.WriteHeader(http.StatusOK)
	case w.busy || order.ExpectedRev != nil && *order.ExpectedRev != uint64(len(w.orders)):
		rw.WriteHeader(http.StatusConflict)
	default:
		w.orders = append(w.orders, orderSeen{time.Now(), order.Holder, order.FencingToken, order.Version})
		w.busy = true
		time.AfterFunc(loadTime, func() {
			w.mu.Lock()
			w.busy, w.version = false, order.Version
			w.mu.Unlock()
			w.register()
		})
		rw.WriteHeader(http.StatusAccepted)
	}
}

func (w *worker) serveRequest(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if id == "" {
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case w.running <- struct{}{}:
		defer func() { <-w.running }()
	case <-time.After(500 * time.Millisecond):
		rw.Header().Set("Attempt-Id", id)
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	if w.limit != "" {
		rw.Header().Set("Server-Limit", w.limit)
	}
	current, count := w.record.begin(w, id, r.URL.Path)
	status := w.respond(id, count)
	rw.Header().Set("Attempt-Id", id)
	rw.Header().Set("Server-Stamp", fmt.Sprintf("%s.%s.%d", w.id, id, count))
	switch {
	case status != http.StatusOK:
		time.Sleep(10 * time.Millisecond)
		rw.WriteHeader(status)
		w.record.end(current, strconv.Itoa(status))
	case w.engine:
		w.serveEvents(rw, r, current)
	default:
		select {
		case <-time.After(w.work):
			fmt.Fprintf(rw, "answer to %s", id)
			w.record.end(current, "200")
		case <-r.Context().Done():
			w.record.end(current, "caller left")
		}
	}
}

// serveEvents sends an item's text from the event after Last-Event-Id on.
func (w *worker) serveEvents(rw http.ResponseWriter, r *http.Request, current *run) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.mu.Lock()
	version := w.version
	w.mu.Unlock()
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("Weight-Versions", strconv.Itoa(version))
	rw.WriteHeader(http.StatusOK)
	flusher := rw.(http.Flusher)
	flusher.Flush()
	for n := after + 1; n <= w.events(current.id); n++ {
		select {
		case <-time.After(eventTime):
		case <-r.Context().Done():
			w.record.end(current, fmt.Sprintf("cut before event %d", n))
			return
		}
		line := ""
		w.mu.Lock()
		if w.version != version {
			version = w.version
			line = fmt.Sprintf("weight-versions: %d\n", version)
		}
		w.mu.Unlock()
		fmt.Fprintf(rw, "%sid: %d\ndata: %s\n\n", line, n, eventData(current.id, n)+w.padding)
		flusher.Flush()
	}
	w.record.end(current, "200")
}

func eventData(id string, n int) string { return fmt.Sprintf("%s/%d", id, n) }
