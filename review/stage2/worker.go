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

const (
	hostName      = "ficu95.example"
	plainService  = "booking-app"
	engineService = "coach-servers"
	modelName     = "daka510000"
	otherModel    = "daka510001" // of deployments with two trainers
	heartbeat     = 1200 * time.Millisecond
	loadTime      = 900 * time.Millisecond
)

// worker is a stand-in of one worker: an engine if it has a model.
type worker struct {
	id, service, zone string
	slots             int
	isEngine          bool
	eventEvery        time.Duration
	eventBytes        int
	store             *store
	record            *recorder
	address           string
	server            *http.Server

	mu       sync.Mutex
	running  int
	software string
	born     int64
	ended    bool              // the entry is not written any more
	cut      bool              // from the store
	versions map[string]uint64 // of the weights, by model
	loading  bool
	accepted uint64
	stamps   int
	writes   int
	open     map[net.Conn]bool
}

func startWorker(store *store, record *recorder, id, service string, slots int, isEngine bool, eventEvery time.Duration, eventBytes int) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, service: service, zone: "nelson-hall", slots: slots, isEngine: isEngine, eventEvery: eventEvery, eventBytes: eventBytes,
		store: store, record: record, address: listener.Addr().String(), versions: map[string]uint64{modelName: 1}, software: "s1", born: time.Now().UnixMilli(), open: map[net.Conn]bool{}}
	w.listen(listener)
	go func() {
		for {
			w.register()
			time.Sleep(heartbeat)
		}
	}()
	return w, nil
}

// listen serves connections.
func (w *worker) listen(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/report", w.serveReport)
	mux.HandleFunc("POST /api/order", w.serveOrder)
	mux.HandleFunc("/", w.serve)
	w.server = &http.Server{Handler: mux, ConnState: w.track}
	go func() { _ = w.server.Serve(listener) }()
}

// track knows the open connections, which a crash resets.
func (w *worker) track(conn net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch state {
	case http.StateNew:
		w.open[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(w.open, conn)
	}
}

// models returns the models with the versions of their weights. The caller holds mu.
func (w *worker) models() []any {
	var models []any
	for _, name := range []string{modelName, otherModel} {
		if version := w.versions[name]; version > 0 {
			models = append(models, map[string]any{"Name": name, "Version": version, "Adapters": []string{}})
		}
	}
	return models
}

// register writes the worker's entry.
func (w *worker) register() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.writes++
	entry := map[string]any{"Service": w.service, "Address": w.address, "Zone": w.zone, "Version": w.software, "Slots": w.slots,
		"State": "ready", "ColdRemainingMs": 0, "SeqNo": w.writes, "born": w.born}
	if w.isEngine {
		entry["Stage"], entry["Models"] = "dual", w.models()
	}
	w.store.putJSON("servers", w.id, entry)
}

// crash ends the worker: its connections are reset, and it writes nothing any more.
func (w *worker) crash() {
	w.mu.Lock()
	w.ended = true
	for conn := range w.open {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	w.mu.Unlock()
	_ = w.server.Close()
	w.record.line("worker %s crashed", w.id)
}

// restart starts the worker again under its id and at its address. It registers first and
// then takes connections.
func (w *worker) restart(software string) error {
	w.mu.Lock()
	w.ended, w.running, w.loading, w.accepted, w.writes = false, 0, false, 0, 0
	w.software, w.born, w.open = software, time.Now().UnixMilli(), map[net.Conn]bool{}
	w.mu.Unlock()
	w.register()
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.listen(listener)
	w.record.line("worker %s started again with software %s", w.id, software)
	return nil
}

func (w *worker) stamp() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stamps++
	return fmt.Sprintf("%s.%d", w.id, w.stamps)
}

func notExecuted(rw http.ResponseWriter, status int) {
	rw.Header().Set("Not-Executed", "1")
	rw.WriteHeader(status)
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	rw.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		notExecuted(rw, http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	full := w.running >= w.slots || w.loading
	if !full {
		w.running++
	}
	w.mu.Unlock()
	if full {
		notExecuted(rw, http.StatusServiceUnavailable)
		return
	}
	w.mu.Lock()
	born := w.born
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		if w.born == born { // not of an earlier start
			w.running--
		}
		w.mu.Unlock()
	}()
	w.record.ran(id, w.id, r.URL.Path, len(body))
	rw.Header().Set("Server-Stamp", w.stamp())
	if !w.isEngine {
		time.Sleep(20 * time.Millisecond)
		_, _ = fmt.Fprintf(rw, "answer of %s to %s", w.id, id)
		return
	}
	w.serveEvents(rw, r, id)
}

func (w *worker) serveEvents(rw http.ResponseWriter, r *http.Request, id string) {
	_, out, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	events, _ := strconv.Atoi(out)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.mu.Lock()
	model := r.Header.Get("Model")
	version, software := w.versions[model], w.software
	w.mu.Unlock()
	w.record.line("run %s at %s goes on after event %d, software %s", id, w.id, after, software)
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("Weight-Versions", strconv.FormatUint(version, 10))
	control := http.NewResponseController(rw)
	for n := after + 1; n <= events; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(w.eventEvery):
		}
		line := ""
		w.mu.Lock()
		if w.versions[model] != version {
			version = w.versions[model]
			line = fmt.Sprintf("weight-versions: %d\n", version)
		}
		w.mu.Unlock()
		if _, err := fmt.Fprintf(rw, "%sid: %d\ndata: %s\n\n", line, n, eventData(id, n, w.eventBytes, software)); err != nil || control.Flush() != nil {
			return
		}
	}
	w.record.finished(id, w.id)
}

func eventData(id string, n, bytes int, software string) string {
	text := fmt.Sprintf("%s/%d/%s ", id, n, software)
	return strings.Repeat(text, max(1, bytes/len(text)))
}

func (w *worker) serveReport(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rw.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	reply(rw, http.StatusOK, map[string]any{"Stage": "dual", "Models": w.models(),
		"Busy": w.loading, "SeqNo": w.accepted, "Waiting": 0, "Running": w.running, "KvUsed": 0, "KvTotal": 95290, "Handles": 0})
}

func (w *worker) serveOrder(rw http.ResponseWriter, r *http.Request) {
	var order struct {
		Model       string
		Version     uint64
		ExpectedRev *uint64
	}
	err := json.NewDecoder(r.Body).Decode(&order)
	rw.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err != nil:
		rw.WriteHeader(http.StatusBadRequest)
	case r.Header.Get("Expect-Instance") != w.id:
		rw.WriteHeader(http.StatusMisdirectedRequest)
	case w.loading || order.ExpectedRev != nil && *order.ExpectedRev != w.accepted:
		rw.WriteHeader(http.StatusConflict)
	case w.versions[order.Model] >= order.Version:
		rw.WriteHeader(http.StatusOK)
	default:
		w.accepted++
		w.loading = true
		time.AfterFunc(loadTime, func() {
			w.mu.Lock()
			w.versions[order.Model], w.loading = order.Version, false
			w.mu.Unlock()
		})
		rw.WriteHeader(http.StatusAccepted)
	}
}

// load returns the number of runs in progress.
func (w *worker) load() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running
}
