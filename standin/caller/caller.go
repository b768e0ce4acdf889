// Package caller is a stand-in for callers: it sends completions or plain
// calls, goes on at another address when one fails, and checks every answer.
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
	Addresses   []string // host:port of entry VMs to start with
	Token       string
	Deployment  string
	Count       int
	Concurrency int           // requests in flight; zero means one
	Timeout     time.Duration // of one request, all tries together
	RequestID   string        // prefix of the request ids and idempotency keys

	// For completions.
	Prompt    string // the request's number is appended
	MaxTokens int
	Seed      int64 // of the first request; each further one adds one
	Chat      bool  // use chat completions
	// Answering is told the address of an entry VM when the first tokens of a
	// try come from it; nil for nobody. It must not wait.
	Answering func(address string)

	// For plain calls; Path empty means completions.
	Method string
	Path   string // below the deployment; the request's number is appended
	Body   []byte
	Keyed  bool // send an idempotency key
	Twice  bool // send each call a second time with the same key
}

// Summary is what a run saw.
type Summary struct {
	Requests   int      `json:"requests"`
	Whole      int      `json:"whole"`        // answers that were whole and right
	Wrong      int      `json:"wrong"`        // answers that ended but were not right
	NotRun     int      `json:"not_run"`      // refusals that say so
	MayHaveRun int      `json:"may_have_run"` // final failures that leave it open
	TimedOut   int      `json:"timed_out"`    // no final answer within the timeout
	Tries      int      `json:"tries"`        // requests sent, first ones included
	Resumes    int      `json:"resumes"`      // tries that went on in mid-answer
	SlowestMS  int64    `json:"slowest_ms"`   // slowest whole answer
	MeanMS     int64    `json:"mean_ms"`      // of whole answers
	Notes      []string `json:"notes"`        // the first few faults seen
	totalTime  time.Duration
}

// maxNotes bounds the notes of a summary.
const maxNotes = 10

// result is the outcome of one request.
type result struct {
	tries   int
	resumes int
	wrong   string // why the answer is not right, empty if it is
	err     error  // final failure
	took    time.Duration
}

// Run sends all requests and waits for their ends. The error is the context's.
func Run(ctx context.Context, options Options) (Summary, error) {
	client := entryclient.New(options.Addresses, options.Token)
	numbers := make(chan int)
	results := make(chan result)
	var workers sync.WaitGroup
	for range max(1, options.Concurrency) {
		workers.Go(func() {
			for number := range numbers {
				results <- sendOne(ctx, client, &options, number)
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
		summary.add(r)
	}
	summary.finish()
	return summary, ctx.Err()
}

func sendOne(ctx context.Context, client *entryclient.Client, options *Options, number int) result {
	ctx, cancel := context.WithTimeout(ctx, options.Timeout)
	defer cancel()
	start := time.Now()
	var r result
	if options.Path == "" {
		r = complete(ctx, client, options, number)
	} else {
		r = call(ctx, client, options, number)
	}
	r.took = time.Since(start)
	return r
}

func (s *Summary) add(r result) {
	s.Requests++
	s.Tries += r.tries
	s.Resumes += r.resumes
	var failure *entryclient.Failure
	switch {
	case r.err == nil && r.wrong == "":
		s.Whole++
		s.totalTime += r.took
		s.SlowestMS = max(s.SlowestMS, r.took.Milliseconds())
	case r.err == nil:
		s.Wrong++
		s.note(r.wrong)
	case errors.As(r.err, &failure) && failure.Ran == errkind.NotRun:
		s.NotRun++
		s.note(r.err.Error())
	case errors.As(r.err, &failure):
		s.MayHaveRun++
		s.note(r.err.Error())
	default:
		s.TimedOut++
		s.note(r.err.Error())
	}
}

func (s *Summary) note(text string) {
	if len(s.Notes) < maxNotes {
		s.Notes = append(s.Notes, text)
	}
}

func (s *Summary) finish() {
	if s.Whole > 0 {
		s.MeanMS = s.totalTime.Milliseconds() / int64(s.Whole)
	}
}

func numbered(prefix string, number int) string { return fmt.Sprintf("%s-%d", prefix, number) }
