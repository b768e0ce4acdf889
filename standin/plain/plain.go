// Package plain is a stand-in for a plain service. It records every run of
// every call, so that a call that ran twice is visible.
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

// Paths of the fault orders.
const (
	FaultsPath = "/control/faults" // POST Faults
	RevivePath = "/control/revive" // POST
	RunsPath   = "/control/runs"   // GET, answered with []Run
)

// Faults are fault orders. They hold until replaced, but those marked "once".
type Faults struct {
	DelayMillis int  `json:"delay_ms"`   // before the effect, which comes also when the caller has left
	Refuse      bool `json:"refuse"`     // refuse calls without running them
	DropReply   bool `json:"drop_reply"` // once: run a call and cut the connection
	Crash       bool `json:"crash"`      // once: run a call and crash
}

// Options configures a service.
type Options struct {
	Name string // told in each answer
	// Ledger records the runs; services that share one stand for one service
	// with several VMs. Nil gives a new one.
	Ledger *Ledger
	// Exit ends the process on a crash. Nil makes the handler refuse everything
	// until it is revived.
	Exit func()
}

// Answer is the body of every call's answer.
type Answer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Key     string `json:"key,omitempty"`
	Run     int    `json:"run"`  // number of this run of the call, from 1
	Size    int64  `json:"size"` // bytes of the call's body
}

// Service is the stand-in. Paths below /control/ take fault orders; every
// other path is a call.
type Service struct {
	options Options
	mux     *http.ServeMux
	stop    chan struct{} // closed by Close
	once    sync.Once

	// mu guards all fields below.
	mu     lockrank.Mutex
	faults Faults
	dead   bool
}

// New returns a service without faults.
func New(options Options) *Service {
	if options.Ledger == nil {
		options.Ledger = NewLedger()
	}
	s := &Service{options: options, stop: make(chan struct{}), mu: lockrank.New(lockrank.RankOutside)}
	s.mux = http.NewServeMux()
	s.mux.HandleFunc("POST "+FaultsPath, s.serveFaults)
	s.mux.HandleFunc("POST "+RevivePath, func(http.ResponseWriter, *http.Request) { s.Revive() })
	s.mux.HandleFunc("GET "+RunsPath, func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, options.Ledger.Runs())
	})
	s.mux.HandleFunc("/", s.serveCall)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Close ends all delays.
func (s *Service) Close() { s.once.Do(func() { close(s.stop) }) }

// SetFaults replaces the fault orders.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Revive ends the state after a crash.
func (s *Service) Revive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dead = false
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
	faults, refused := s.takeFaults()
	if refused {
		w.Header().Set(plainhttp.NotRunHeader, "true")
		httpjson.Refuse(w, httpjson.NotRun("service refuses calls"))
		return
	}
	s.delay(time.Duration(faults.DelayMillis) * time.Millisecond)
	key := r.Header.Get(plainhttp.KeyHeader)
	run := s.options.Ledger.record(key, r.URL.Path)
	s.fail(faults)
	w.Header().Set("X-Run", strconv.Itoa(run))
	httpjson.Write(w, Answer{Service: s.options.Name, Path: r.URL.Path, Key: key, Run: run, Size: size})
}

// takeFaults returns the faults for one call and clears those that hold once.
func (s *Service) takeFaults() (faults Faults, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead || s.faults.Refuse {
		return Faults{}, true
	}
	faults = s.faults
	s.faults.DropReply, s.faults.Crash = false, false
	s.dead = faults.Crash
	return faults, false
}

// delay waits also when the caller has left, as a service would that is slow.
func (s *Service) delay(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.stop:
	}
}

// fail cuts the connection after the effect if a fault order says so.
func (s *Service) fail(faults Faults) {
	if faults.Crash && s.options.Exit != nil {
		s.options.Exit()
	}
	if faults.Crash || faults.DropReply {
		panic(http.ErrAbortHandler)
	}
}
