package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// record keeps what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	runs  []*run
	count map[string]int // runs by Attempt-Id
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now(), count: make(map[string]int)}, err
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(fmt.Sprintf(format, args...))
}

// write writes a line. The caller holds mu.
func (r *record) write(line string) {
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.began).Seconds(), line)
}

// begin records that a worker begins to run a request, and returns how many runs of it began.
func (r *record) begin(w *worker, id, path string) (*run, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := &run{worker: w, id: id, path: path, began: time.Now()}
	r.runs = append(r.runs, current)
	r.count[id]++
	r.write(fmt.Sprintf("run %d of %s begins at %s: %s", r.count[id], id, w.id, path))
	return current, r.count[id]
}

func (r *record) end(current *run, outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current.ended, current.outcome = time.Now(), outcome
	r.write(fmt.Sprintf("run of %s at %s ends: %s", current.id, current.worker.id, outcome))
}

// runsOf returns the runs of a request so far.
func (r *record) runsOf(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []run
	for _, current := range r.runs {
		if current.id == id {
			found = append(found, *current)
		}
	}
	return found
}

// site is a small deployment.
type site struct {
	*record
	store   *store
	workers []*worker
	relays  []*relay
	folder  string
}

const routeHost = "ficu95.example"

// startSite starts the store, workers and relays, and waits until all relays are ready.
func startSite(rec *record, relays int, prepare func(*site) error) (*site, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{record: rec, store: newStore(), folder: folder}
	s.endOnSignal()
	if err := prepare(s); err != nil {
		return s, err
	}
	network, err := freeNetwork()
	if err != nil {
		return s, err
	}
	for n := range relays {
		gate, err := s.store.listen("127.0.0.1")
		if err != nil {
			return s, err
		}
		s.relays = append(s.relays, &relay{record: rec, name: fmt.Sprintf("front-z1-%d", n+1), host: fmt.Sprintf("%s.%d", network, n+1), folder: folder, gate: gate})
	}
	for _, r := range s.relays {
		if err := r.start(s.relays[0].host); err != nil {
			return s, err
		}
	}
	for until := time.Now().Add(20 * time.Second); !s.allReady(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(until) {
			return s, fmt.Errorf("the relays did not become ready")
		}
	}
	time.Sleep(3 * time.Second) // until leases are held and members known
	rec.logf("all relays are ready")
	return s, nil
}

// endOnSignal ends the case when it is stopped. The kernel ends the relays with it.
func (s *site) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		s.logf("stopped by %v", <-signals)
		_ = os.RemoveAll(s.folder)
		os.Exit(notRun)
	}()
}

func (s *site) allReady() bool {
	for _, r := range s.relays {
		if !r.isReady() {
			return false
		}
	}
	return true
}

func (s *site) stop() {
	for _, r := range s.relays {
		if r.ended != nil {
			r.stop()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		s.logf("logs in %s", s.folder)
	}
}

// freeNetwork returns the first three parts of loopback addresses whose ports are free.
func freeNetwork() (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		listener, err := net.Listen("tcp", network+".1:8161")
		if err == nil {
			return network, listener.Close()
		}
	}
	return "", fmt.Errorf("no free loopback network")
}

// addWorker starts a worker.
func (s *site) addWorker(id, service string, engine bool, slots int) (*worker, error) {
	w, err := startWorker(s.record, s.store, id, service, engine, slots)
	if err == nil {
		s.workers = append(s.workers, w)
	}
	return w, err
}

func route(name, prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"Name": name, "Host": routeHost, "Prefix": prefix, "Kind": kind, "Service": service, "MaxAttempts": attempts,
		"TimeoutMs": 10000, "TargetLatencyMs": 400, "Priority": 2,
	}
}

// jobRoute returns the route of batch jobs.
func jobRoute(name, prefix, service string) map[string]any {
	r := route(name, prefix, "rollout", service, 3)
	r["ResultDeadlineMs"], r["ItemTtlS"], r["Priority"], r["SessionAffinity"] = 7500, 60, 0, true
	return r
}

func plainService(name string) map[string]any {
	return map[string]any{"Name": name, "HealthPath": "/health", "MaxConnections": 100, "Protocol": "h1", "Tls": false}
}

func engineService(name string, slots int) map[string]any {
	s := plainService(name)
	s["Engine"] = map[string]any{"Slots": slots, "KvCapacity": 31877, "KvTokenBytes": 18432, "LinkMbps": 530000.0, "Stride": 42, "most": slots,
		"PinMs": 4000.0, "HoldMs": 2000.0, "handle_s": 5.0, "Models": []any{map[string]any{"Name": modelName}}}
	return s
}

// configure writes a configuration and returns when it was acknowledged.
func (s *site) configure(version int, routes []any, services []any) time.Time {
	acknowledged := s.store.write("op", "config", map[string]any{
		"Version": version, "Routes": routes, "Services": services,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	s.logf("configuration %d is acknowledged", version)
	return acknowledged
}

// item returns an item of a batch job.
func item(id, path, group string) map[string]any {
	return map[string]any{
		"Id": id, "Path": path, "Headers": map[string]string{"Model": modelName, "Token-Count": "40,400", "Prompt-Prefix": "9c2e41:24," + fmt.Sprintf("%x", id) + ":16"},
		"Body": []byte("prompt of " + id), "Tokens": 440, "Group": group,
	}
}

// call makes a call on a new connection and returns the status, zero without an answer.
func (s *site) call(method, address, path string, header map[string]string, body []byte, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = routeHost
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := freshClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, content
}

// submit hands a batch job in at a relay.
func (s *site) submit(r *relay, id, path string, step int, items []any, groups int) int {
	body, err := json.Marshal(map[string]any{"Step": step, "Model": modelName, "MinVersion": 1, "DesiredCount": groups, "Requests": items})
	if err != nil {
		panic(err)
	}
	status, _ := s.call(http.MethodPost, r.front(), path, map[string]string{"Attempt-Id": id, "Content-Type": "application/json"}, body, 5*time.Second)
	s.logf("batch job %s is handed in at %s: %d", id, r.name, status)
	return status
}

type result struct {
	ID       string `json:"Id"`
	State    string
	Text     string
	Versions []int
	Score    string
}

// results reads a batch job's results from a position on.
func (s *site) results(r *relay, id string, after int) (status, total int, found []result) {
	status, body := s.call(http.MethodGet, r.front(), fmt.Sprintf("/api/lots/%s?After=%d", url.PathEscape(id), after), map[string]string{"Wait-Ms": "500"}, nil, 2*time.Second)
	var page struct {
		Total   int
		Results []result
	}
	if status == http.StatusOK && json.Unmarshal(body, &page) != nil {
		return 0, 0, nil
	}
	return status, page.Total, page.Results
}

// collect reads a batch job's results, at the relays in turn, until all are listed or the
// time is up.
func (s *site) collect(id string, until time.Time) (total int, found []result) {
	for n := 0; time.Now().Before(until); n++ {
		status, of, more := s.results(s.relays[n%len(s.relays)], id, len(found))
		if status == http.StatusOK {
			total = of
		}
		for _, listed := range more {
			s.logf("result %d of %s: %s is %s", len(found), id, listed.ID, listed.State)
			found = append(found, listed)
		}
		if total > 0 && len(found) >= total {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	return total, found
}

// end ends a batch job.
func (s *site) end(r *relay, id string) int {
	status, _ := s.call(http.MethodDelete, r.front(), "/api/lots/"+url.PathEscape(id), nil, nil, 3*time.Second)
	s.logf("batch job %s is ended at %s: %d", id, r.name, status)
	return status
}
