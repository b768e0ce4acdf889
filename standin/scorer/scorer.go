// Package scorer is a stand-in for a scoring service. It injects delays and
// failures, and its scores depend only on prompt and answer.
package scorer

import (
	"net/http"
	"time"

	"fescuespar/internal/adapters/scorerhttp"
	"fescuespar/internal/lockrank"
	"fescuespar/internal/ports/backendtest/tokens"
	"fescuespar/standin/httpjson"
)

// Paths of the control requests.
const (
	FaultsPath = "/control/faults" // POST Faults
	CountsPath = "/control/counts" // GET Counts
)

// Faults are the faults to inject. They remain in effect until replaced,
// except those marked "once".
type Faults struct {
	DelayMillis int  `json:"delay_ms"`   // before each answer
	Refuse      bool `json:"refuse"`     // refuse samples without scoring them
	DropReply   bool `json:"drop_reply"` // once: score a sample, then close the connection without a reply
	FailEvery   int  `json:"fail_every"` // every n-th call fails; zero disables failures
}

// Counts are the service's counters since it started.
type Counts struct {
	Calls  int `json:"calls"`
	Scored int `json:"scored"` // calls that were scored
}

// Service is the stand-in.
type Service struct {
	mux *http.ServeMux

	// mu guards all fields below.
	mu     lockrank.Mutex
	faults Faults
	counts Counts
}

// New returns a service that injects the given faults.
func New(faults Faults) *Service {
	s := &Service{mux: http.NewServeMux(), mu: lockrank.New(lockrank.RankExternal), faults: faults}
	s.mux.HandleFunc("POST "+scorerhttp.ScorePath, s.serveScore)
	s.mux.HandleFunc("POST "+FaultsPath, s.serveFaults)
	s.mux.HandleFunc("GET "+CountsPath, func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, s.Counts())
	})
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Counts returns the service's counters.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if httpjson.Read(w, r, &faults) {
		s.SetFaults(faults)
	}
}

func (s *Service) serveScore(w http.ResponseWriter, r *http.Request) {
	var body scorerhttp.ScoreBody
	if !httpjson.Read(w, r, &body) {
		return
	}
	faults, failing := s.consumeFaults()
	if faults.Refuse {
		httpjson.Refuse(w, httpjson.NotRun("service refuses samples (injected fault)"))
		return
	}
	if httpjson.Sleep(r.Context(), time.Duration(faults.DelayMillis)*time.Millisecond) != nil {
		return
	}
	if failing {
		http.Error(w, "scoring failed (injected fault)", http.StatusInternalServerError)
		return
	}
	if faults.DropReply {
		panic(http.ErrAbortHandler)
	}
	score := tokens.Score(body.Prompt, body.Tokens)
	httpjson.Write(w, scorerhttp.AnswerBody{Score: &score})
}

// consumeFaults counts a call, returns its faults and clears those marked
// "once".
func (s *Service) consumeFaults() (faults Faults, failing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults = s.faults
	s.counts.Calls++
	failing = faults.FailEvery > 0 && s.counts.Calls%faults.FailEvery == 0
	if !faults.Refuse && !failing {
		s.faults.DropReply = false
		s.counts.Scored++
	}
	return faults, failing
}
