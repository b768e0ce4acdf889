package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

// recorder writes what happened to record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	begun map[string]time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, began: time.Now(), begun: map[string]time.Time{}}, nil
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

func (r *recorder) ran(id, worker, path string, bytes int) {
	r.mu.Lock()
	r.begun[id] = time.Now()
	r.mu.Unlock()
	r.line("run %s at %s, path %s, %d bytes", id, worker, path, bytes)
}

func (r *recorder) finished(id, worker string) {
	r.line("run %s finished at %s", id, worker)
}

func (r *recorder) hasBegun(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.begun[id].IsZero()
}

// lastBegun returns when the last of the items began that have, and how many have.
func (r *recorder) lastBegun(items []item) (last time.Time, begun int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range items {
		if at := r.begun[i.id]; !at.IsZero() {
			begun++
			if at.After(last) {
				last = at
			}
		}
	}
	return last, begun
}

func readState(body io.Reader) bool {
	var state struct {
		Leases []struct {
			Name string `json:"name"`
			Held bool   `json:"held"`
		} `json:"leases"`
	}
	if json.NewDecoder(body).Decode(&state) != nil {
		return false
	}
	for _, lease := range state.Leases {
		if lease.Held {
			return true
		}
	}
	return false
}

// site is a small deployment.
type site struct {
	record  *recorder
	store   *store
	relays  []*relay
	workers []*worker
	folder  string
	config  int // version of the configuration
}

type shape struct {
	machines, memoryMB, engines, slots int
	eventEvery                         time.Duration
	eventBytes                         int
	itemTTL                            float64
	models                             bool // the engines have two models
	added                              int  // routes of batch jobs that were added later
	two                                bool // a second route of batch jobs, which is more urgent
}

func startSite(root, caseFolder string, s shape) (*site, error) {
	record, err := newRecorder(filepath.Join(caseFolder, "record.txt"))
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "fescuespar-review-")
	if err != nil {
		return nil, err
	}
	st, err := startStore()
	if err != nil {
		return nil, err
	}
	d := &site{record: record, store: st, folder: folder}
	d.publish(s)
	for n := range s.engines {
		w, err := startWorker(st, record, fmt.Sprintf("i-e%04d", n), engineService, s.slots, true, s.eventEvery, s.eventBytes)
		if err != nil {
			return nil, err
		}
		if s.models {
			w.versions[otherModel] = 1
		}
		d.workers = append(d.workers, w)
	}
	for n := range 2 {
		w, err := startWorker(st, record, fmt.Sprintf("i-p%04d", n), plainService, 6, false, 0, 0)
		if err != nil {
			return nil, err
		}
		d.workers = append(d.workers, w)
	}
	network, err := freeNetwork(s.machines)
	if err != nil {
		return nil, err
	}
	for n := range s.machines {
		m, err := startRelay(record, root, folder, network, n, s.machines, s.memoryMB, st.address)
		if err != nil {
			return nil, err
		}
		d.relays = append(d.relays, m)
		time.Sleep(75 * time.Millisecond) // the machines start within 0.3 s
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range d.relays {
			if m.ready() {
				ready++
			}
		}
		if ready == len(d.relays) && d.coordinator() != nil {
			record.line("all machines are ready")
			return d, nil
		}
	}
	d.stop()
	return nil, fmt.Errorf("the machines are not ready in 15 s")
}

// publish writes the next version of the configuration.
func (d *site) publish(s shape) {
	d.config += 3
	route := func(name, prefix, kind, service string, attempts, timeout int) map[string]any {
		return map[string]any{"Name": name, "Host": hostName, "Prefix": prefix, "Kind": kind, "Service": service, "MaxAttempts": attempts,
			"TimeoutMs": timeout, "TargetLatencyMs": 400, "Priority": 0, "ResultDeadlineMs": 7500, "ItemTtlS": s.itemTTL}
	}
	guide := route("guide-rollout", "/pule252/", "rollout", engineService, 3, 10000)
	if s.two {
		guide["Priority"], guide["ResultDeadlineMs"] = 1, 12000
	}
	routes := []any{
		route("booking-lookup", "/pufi791/", "idempotent", plainService, 3, 2000),
		route("library-sync", "/sync102/", "idempotent", plainService, 4, 2000), guide,
	}
	if s.two {
		routes = append(routes, route("triage-rollout", "/trig118/", "rollout", engineService, 3, 10000))
	}
	for n := range s.added {
		solo := route(fmt.Sprintf("solo-rollout-%d", n), fmt.Sprintf("/solo77%d/", n), "rollout", engineService, 3, 10000)
		solo["SingleVersion"] = true
		routes = append(routes, solo)
	}
	d.store.putJSON("op", "config", map[string]any{
		"Version": d.config,
		"Routes":  routes,
		"Services": []any{
			map[string]any{"Name": plainService, "MaxConnections": 110, "HealthPath": "/health"},
			map[string]any{"Name": engineService, "MaxConnections": 180, "HealthPath": "/health", "Engine": map[string]any{"Slots": s.slots}},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
}

func (d *site) coordinator() *relay {
	for _, m := range d.relays {
		if m.isCoordinator() {
			return m
		}
	}
	return nil
}

func (d *site) stop() {
	for _, m := range d.relays {
		m.stop()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("logs in", d.folder)
	}
	_ = d.store.server.Close()
}

// item is one item of a batch job.
type item struct {
	id, group, prefix string
	events, bodyBytes int
}

// batch is a batch job.
type batch struct {
	id    string
	route string // prefix of its route; empty for that of guide-rollout
	model string // of which it trains; empty for modelName
	least uint64 // MinVersion; zero for 1
	items []item
}

func (b *batch) modelName() string {
	if b.model != "" {
		return b.model
	}
	return modelName
}

func (b *batch) prefix() string {
	if b.route != "" {
		return b.route
	}
	return "/pule252/"
}

func (b *batch) body() []byte {
	var requests []any
	for _, i := range b.items {
		requests = append(requests, map[string]any{
			"Id": i.id, "Path": b.prefix() + "3/" + i.id, "Body": bytes.Repeat([]byte("a"), i.bodyBytes), "Tokens": 1016 + i.events, "Group": i.group,
			"Headers":   map[string]string{"Model": b.modelName(), "Token-Count": fmt.Sprintf("1016,%d", i.events), "Length-Hint": strconv.Itoa(i.events), "Prompt-Prefix": i.prefix},
			"ScorerUri": map[string]any{"Id": "r" + i.id, "Host": hostName, "Path": "/sync102/" + i.id, "Body": []byte("ok")},
		})
	}
	body, _ := json.Marshal(map[string]any{"Step": 0, "Model": b.modelName(), "MinVersion": max(1, b.least), "DesiredCount": len(b.items), "Requests": requests})
	return body
}

// newBatch returns a batch job of ordinary items in groups of four.
func newBatch(id string, items, events, bodyBytes int) *batch {
	b := &batch{id: id}
	for n := range items {
		b.items = append(b.items, item{id: fmt.Sprintf("%s%04x", id, n), group: fmt.Sprintf("g%s%d", id, n/4), prefix: fmt.Sprintf("9c2e41:1000,%s%04x:16", id, n), events: events, bodyBytes: bodyBytes})
	}
	return b
}

// call makes one call of a client on a new connection. The status is 0 without an answer.
func (d *site) call(m *relay, method, path, id string, body []byte, timeout time.Duration) (int, []byte) {
	transport := &http.Transport{DisableKeepAlives: true}
	client := &http.Client{Transport: transport, Timeout: timeout}
	request, err := http.NewRequest(method, "http://"+m.front()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = hostName
	if id != "" {
		request.Header.Set("Attempt-Id", id)
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := client.Do(request)
	if err != nil {
		d.record.line("%s %s at %s: no answer: %v", method, path, m.name, err)
		return 0, nil
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		d.record.line("%s %s at %s: answer broken off: %v", method, path, m.name, err)
		return 0, nil
	}
	return response.StatusCode, answer
}

// submit sends a batch job until it is accepted.
func (d *site) submit(b *batch, from int, until time.Time) bool {
	body := b.body()
	for try := 0; time.Now().Before(until); try++ {
		m := d.relays[(from+try)%len(d.relays)]
		status, _ := d.call(m, http.MethodPost, b.prefix()+b.id, b.id, body, 8*time.Second)
		d.record.line("submit %s (%d items, %d bytes) at %s: %d", b.id, len(b.items), len(body), m.name, status)
		if status == http.StatusAccepted {
			return true
		}
		time.Sleep(400 * time.Millisecond)
	}
	return false
}

type pageAnswer struct {
	Total, Next int
	Results     []struct {
		ID    string `json:"Id"`
		State string
		Text  string
		Score string

		Versions []uint64
	}
}

// read reads results from a position on.
func (d *site) read(b *batch, m *relay, after int) (pageAnswer, int) {
	status, answer := d.call(m, http.MethodGet, fmt.Sprintf("/api/lots/%s?After=%d", b.id, after), "", nil, 6*time.Second)
	var page pageAnswer
	if status == http.StatusOK && json.Unmarshal(answer, &page) != nil {
		return page, 0
	}
	return page, status
}

// readAll reads a batch job until all results are listed, and returns how many were.
func (d *site) readAll(b *batch, from int, until time.Time) int {
	next := 0
	for try := 0; time.Now().Before(until) && next < len(b.items); try++ {
		m := d.relays[(from+try)%len(d.relays)]
		page, status := d.read(b, m, next)
		if status == http.StatusOK {
			next += len(page.Results)
		}
		time.Sleep(100 * time.Millisecond)
	}
	d.record.line("batch job %s: %d of %d results read", b.id, next, len(b.items))
	return next
}

func (d *site) end(b *batch, from int) {
	for try := range 6 {
		m := d.relays[(from+try)%len(d.relays)]
		status, _ := d.call(m, http.MethodDelete, "/api/lots/"+b.id, "", nil, 4*time.Second)
		d.record.line("end %s at %s: %d", b.id, m.name, status)
		if status == http.StatusOK {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// name names a version of the model's weights, as its trainer does.
func (d *site) name(version uint64) {
	d.store.putJSON("op", "version/"+modelName, map[string]any{"Model": modelName, "Version": version})
	d.record.line("version %d named", version)
}
