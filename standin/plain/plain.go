// Package plain is a stand-in for a plain service. It counts how often each
// call ran, so that tests can detect a call that ran twice.
package plain

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"fescuespar/internal/adapters/plainhttp"
	"fescuespar/internal/lockrank"
	"fescuespar/standin/httpjson"
)

// Paths of the control requests.
const (
	FaultsPath = "/control/faults" // POST Faults
	RevivePath = "/control/revive" // POST
	RunsPath   = "/control/runs"   // GET, returns []RunCount
)

// Faults are the faults to inject. They remain in effect until replaced,
// except those marked "once".
type Faults struct {
	DelayMillis int  `json:"delay_ms"`   // before a call takes effect; it does so even if the client disconnects
	Refuse      bool `json:"refuse"`     // refuse calls without running them
	DropReply   bool `json:"drop_reply"` // once: run a call, then close the connection without a reply
	Crash       bool `json:"crash"`      // once: run a call, then crash
}

// Options configures a service.
type Options struct {
	Name string // included in each answer
	// RunCounter counts the runs. Several VMs of one service share one. Nil creates
	// a new one.
	RunCounter *RunCounter
	// Exit terminates the process on an injected crash. If nil, the handler
	// refuses all calls until Revive instead.
	Exit func()
}

// Answer is the body of the response to a call.
type Answer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Key     string `json:"key,omitempty"`
	Run     int    `json:"run"`  // number of this run of the call, starting at 1
	Size    int64  `json:"size"` // size of the call's body in bytes
}

// Service is the stand-in. Requests with paths below /control/ control it; all
// others are calls.
type Service struct {
	options   Options
	mux       *http.ServeMux
	stop      chan struct{} // closed by Close
	closeOnce sync.Once

	// mu guards all fields below.
	mu      lockrank.Mutex
	faults  Faults
	crashed bool
}

// New returns a service without injected faults.
func New(options Options) *Service {
	if options.RunCounter == nil {
		options.RunCounter = NewRunCounter()
	}
	s := &Service{options: options, stop: make(chan struct{}), mu: lockrank.New(lockrank.RankExternal)}
	s.mux = http.NewServeMux()
	s.mux.HandleFunc("POST "+FaultsPath, s.serveFaults)
	s.mux.HandleFunc("POST "+RevivePath, func(http.ResponseWriter, *http.Request) { s.Revive() })
	s.mux.HandleFunc("GET "+RunsPath, func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, options.RunCounter.Runs())
	})
	s.mux.HandleFunc("/", s.serveCall)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Close ends all injected delays.
func (s *Service) Close() { s.closeOnce.Do(func() { close(s.stop) }) }

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Revive restores the service after an injected crash.
func (s *Service) Revive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashed = false
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if httpjson.Read(w, r, &faults) {
		s.SetFaults(faults)
	}
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	size, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, httpjson.MaxRequestBytes))
	if err != nil {
		httpjson.Refuse(w, httpjson.BadRequest(err.Error()))
		return
	}
	faults, refused := s.consumeFaults()
	if refused {
		w.Header().Set(plainhttp.NotRunHeader, "true")
		httpjson.Refuse(w, httpjson.NotRun("service refuses calls (injected fault)"))
		return
	}
	s.delay(time.Duration(faults.DelayMillis) * time.Millisecond)
	key := r.Header.Get(plainhttp.IdempotencyKeyHeader)
	run := s.options.RunCounter.record(key, r.URL.Path)
	s.injectReplyFaults(faults)
	w.Header().Set("X-Run", strconv.Itoa(run))
	httpjson.Write(w, Answer{Service: s.options.Name, Path: r.URL.Path, Key: key, Run: run, Size: size})
}

// consumeFaults returns the faults for one call and clears those marked
// "once".
func (s *Service) consumeFaults() (faults Faults, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed || s.faults.Refuse {
		return Faults{}, true
	}
	faults = s.faults
	s.faults.DropReply, s.faults.Crash = false, false
	s.crashed = faults.Crash
	return faults, false
}

// delay waits even if the client has disconnected, as a slow service would.
func (s *Service) delay(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.stop:
	}
}

// injectReplyFaults crashes the service or closes the connection without a reply
// if a fault requires it.
func (s *Service) injectReplyFaults(faults Faults) {
	if faults.Crash && s.options.Exit != nil {
		s.options.Exit()
	}
	if faults.Crash || faults.DropReply {
		panic(http.ErrAbortHandler)
	}
}
