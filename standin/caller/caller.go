// Package caller is a stand-in for callers: it sends completion requests or
// plain calls, switches to another entry VM when one fails, and checks every
// answer.
package caller

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"fescuespar/internal/errkind"
	"fescuespar/standin/entryclient"
)

// Options configures a run.
type Options struct {
	Addresses   []string // initial entry VM addresses, host:port
	Token       string
	Deployment  string
	Count       int
	Concurrency int           // maximum number of concurrent requests; zero means one
	Timeout     time.Duration // per request, including all retries
	RequestID   string        // prefix of the request ids and idempotency keys

	// Options for completions.
	Prompt    string // the request's number is appended
	MaxTokens int
	Seed      int64 // seed of the first request; incremented by one for each further request
	Chat      bool  // use chat completions
	// OnFirstTokens, if set, is called when the first tokens of an answer
	// arrive, with the host:port of the entry VM that sends them. It may be
	// called concurrently for different answers, and is not called again when
	// an answer is resumed at another entry VM.
	OnFirstTokens func(address string)

	// Options for plain calls. An empty Path selects completions.
	Method    string
	Path      string // path below the deployment; the request's number is appended
	Body      []byte
	Keyed     bool // send an idempotency key
	SendTwice bool // send each call a second time with the same key
}

// Summary is the result of a run.
type Summary struct {
	Requests      int      `json:"requests"`
	Correct       int      `json:"whole"`        // complete answers with the expected content
	Wrong         int      `json:"wrong"`        // complete answers with unexpected content
	NotRun        int      `json:"not_run"`      // requests that failed and did not run
	MayHaveRun    int      `json:"may_have_run"` // requests that failed permanently and may have run
	TimedOut      int      `json:"timed_out"`    // requests without a final answer within the timeout
	Tries         int      `json:"tries"`        // requests sent, including the first attempts
	Resumes       int      `json:"resumes"`      // attempts that resumed a partial answer
	SlowestMS     int64    `json:"slowest_ms"`   // slowest correct answer
	MeanMS        int64    `json:"mean_ms"`      // mean duration of correct answers
	Notes         []string `json:"notes"`        // the first errors and mismatches
	totalDuration time.Duration
}

// maxNotes is the maximum number of notes in a summary.
const maxNotes = 10

// result is the outcome of one request.
type result struct {
	tries    int
	resumes  int
	mismatch string // difference from the expected answer; empty if there is none
	err      error  // permanent failure
	duration time.Duration
}

// Run sends all requests and waits until each has been answered or has failed.
// The returned error is the context's.
func Run(ctx context.Context, options Options) (Summary, error) {
	client := entryclient.New(options.Addresses, options.Token)
	numbers := make(chan int)
	results := make(chan result)
	var workers sync.WaitGroup
	for range max(1, options.Concurrency) {
		workers.Go(func() {
			for number := range numbers {
				results <- runRequest(ctx, client, &options, number)
			}
		})
	}
	go func() {
		for number := range options.Count {
			numbers <- number
		}
		close(numbers)
		workers.Wait()
		close(results)
	}()
	summary := Summary{Notes: []string{}}
	for r := range results {
		summary.addResult(r)
	}
	summary.computeMean()
	return summary, ctx.Err()
}

func runRequest(ctx context.Context, client *entryclient.Client, options *Options, number int) result {
	ctx, cancel := context.WithTimeout(ctx, options.Timeout)
	defer cancel()
	start := time.Now()
	var r result
	if options.Path == "" {
		r = runCompletion(ctx, client, options, number)
	} else {
		r = runCall(ctx, client, options, number)
	}
	r.duration = time.Since(start)
	return r
}

func (s *Summary) addResult(r result) {
	s.Requests++
	s.Tries += r.tries
	s.Resumes += r.resumes
	var failure *entryclient.Failure
	switch {
	case r.err == nil && r.mismatch == "":
		s.Correct++
		s.totalDuration += r.duration
		s.SlowestMS = max(s.SlowestMS, r.duration.Milliseconds())
	case r.err == nil:
		s.Wrong++
		s.addNote(r.mismatch)
	case errors.As(r.err, &failure) && failure.Ran == errkind.NotRun:
		s.NotRun++
		s.addNote(r.err.Error())
	case errors.As(r.err, &failure):
		s.MayHaveRun++
		s.addNote(r.err.Error())
	default:
		s.TimedOut++
		s.addNote(r.err.Error())
	}
}

func (s *Summary) addNote(text string) {
	if len(s.Notes) < maxNotes {
		s.Notes = append(s.Notes, text)
	}
}

func (s *Summary) computeMean() {
	if s.Correct > 0 {
		s.MeanMS = s.totalDuration.Milliseconds() / int64(s.Correct)
	}
}

func numbered(prefix string, number int) string { return fmt.Sprintf("%s-%d", prefix, number) }
