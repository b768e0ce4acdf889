package caller

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"fescuespar/internal/ports/backendtest/tokens"
	"fescuespar/standin/entryclient"
)

const answerTokens = 5

// fakeEntryVMs simulates two entry VMs that both serve the same answer.
type fakeEntryVMs struct {
	mu          sync.Mutex
	servers     []*httptest.Server
	unreachable string          // address without a listener, listed first; empty for none
	calls       []string        // method and Last-Event-ID of each request, except those for /v1/addresses
	replies     []scriptedReply // one for each request; the last one is repeated
}

// scriptedReply describes the reply to one request.
type scriptedReply struct {
	cutAfter   int    // number of tokens after which the connection is cut
	body       string // error body, sent with status 503
	event      string // data of an event sent instead of the answer
	tokenShift int    // added to the position of every token
}

func newFakeEntryVMs(t *testing.T, script ...scriptedReply) *fakeEntryVMs {
	e := &fakeEntryVMs{replies: script}
	for range 2 {
		server := httptest.NewServer(e)
		t.Cleanup(server.Close)
		e.servers = append(e.servers, server)
	}
	return e
}

func (e *fakeEntryVMs) addresses() []string {
	var all []string
	if e.unreachable != "" {
		all = append(all, e.unreachable)
	}
	for _, s := range e.servers {
		all = append(all, s.Listener.Addr().String())
	}
	return all
}

func (e *fakeEntryVMs) nextReply(r *http.Request) scriptedReply {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.replies[min(len(e.calls), len(e.replies)-1)]
	e.calls = append(e.calls, strings.TrimSpace(r.Method+" "+r.Header.Get(entryclient.LastEventIDHeader)))
	return s
}

func (e *fakeEntryVMs) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/addresses" {
		fmt.Fprintf(w, `{"addresses":["%s"],"keep_seconds":60}`, strings.Join(e.addresses(), `","`))
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s := e.nextReply(r)
	if s.body != "" {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, s.body)
		return
	}
	if s.event != "" {
		fmt.Fprintf(w, "data: %s\n\n", s.event)
		return
	}
	offset, _, _ := strings.Cut(r.Header.Get(entryclient.LastEventIDHeader), "@")
	first, _ := strconv.Atoi(offset)
	for at := first; at < answerTokens; at++ {
		if s.cutAfter > 0 && at == s.cutAfter {
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		token := tokens.At("Tell 0", 1, at+s.tokenShift)
		fmt.Fprintf(w, "id: %d@e#a\ndata: {\"choices\":[{\"text\":%q,\"finish_reason\":null}]}\n\n", at+1, token)
	}
	fmt.Fprint(w, "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"length\"}]}\n\ndata: [DONE]\n\n")
}

func TestCallerRetriesUntilAnswerIsComplete(t *testing.T) {
	const refused = `{"error":{"kind":"forbidden","ran":"not_run","retryable":false}}`
	const busy = `{"error":{"kind":"overloaded","ran":"not_run","retryable":true}}`
	const unknown = `{"error":{"kind":"unknown_request","ran":"may_have_run","retryable":false}}`
	const lost = `{"error":{"kind":"may_have_run","ran":"may_have_run","retryable":false}}`
	cases := []struct {
		name   string
		script []scriptedReply
		want   Summary
		calls  string
	}{
		{"complete at once", []scriptedReply{{}}, Summary{Correct: 1, Tries: 1}, "POST"},
		{"connection cut during the answer", []scriptedReply{{cutAfter: 2}, {}}, Summary{Correct: 1, Tries: 2, Resumes: 1}, "POST,GET 2@e#a"},
		{"connection cut twice", []scriptedReply{{cutAfter: 1}, {cutAfter: 3}, {}}, Summary{Correct: 1, Tries: 3, Resumes: 2}, "POST,GET 1@e#a,GET 3@e#a"},
		{"request unknown to the other entry VM", []scriptedReply{{cutAfter: 2}, {body: unknown}, {}}, Summary{Correct: 1, Tries: 3, Resumes: 2}, "POST,GET 2@e#a,POST 2@e#a"},
		{"overloaded", []scriptedReply{{body: busy}, {}}, Summary{Correct: 1, Tries: 2}, "POST,POST"},
		{"refused", []scriptedReply{{body: refused}}, Summary{NotRun: 1, Tries: 1}, "POST"},
		{"lost", []scriptedReply{{event: lost}}, Summary{MayHaveRun: 1, Tries: 1}, "POST"},
		{"wrong tokens", []scriptedReply{{tokenShift: 1}}, Summary{Wrong: 1, Tries: 1}, "POST"},
		{"gap after resuming", []scriptedReply{{cutAfter: 2}, {tokenShift: 1}}, Summary{Wrong: 1, Tries: 2, Resumes: 1}, "POST,GET 2@e#a"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newFakeEntryVMs(t, c.script...)
			got, err := Run(t.Context(), Options{
				Addresses: e.addresses(), Token: "t", Deployment: "d", Count: 1, Timeout: 20 * time.Second,
				RequestID: "r", Prompt: "Tell", MaxTokens: answerTokens, Seed: 1,
			})
			if err != nil {
				t.Fatal(err)
			}
			seen := Summary{
				Correct: got.Correct, Wrong: got.Wrong, NotRun: got.NotRun, MayHaveRun: got.MayHaveRun,
				TimedOut: got.TimedOut, Tries: got.Tries, Resumes: got.Resumes,
			}
			if fmt.Sprint(seen) != fmt.Sprint(c.want) {
				t.Errorf("got summary %+v, want %+v", got, c.want)
			}
			if calls := strings.Join(e.calls, ","); calls != c.calls {
				t.Errorf("got requests %s, want %s", calls, c.calls)
			}
		})
	}
}

func TestCallerSkipsUnreachableAddress(t *testing.T) {
	e := newFakeEntryVMs(t, scriptedReply{})
	dead := httptest.NewServer(http.NotFoundHandler())
	e.unreachable = dead.Listener.Addr().String()
	dead.Close()
	got, err := Run(t.Context(), Options{
		Addresses: e.addresses(), Deployment: "d", Count: 1,
		Timeout: 20 * time.Second, RequestID: "r", Prompt: "Tell", MaxTokens: answerTokens, Seed: 1,
	})
	if err != nil || got.Correct != 1 {
		t.Errorf("got summary %+v and error %v, want one correct answer", got, err)
	}
}

func TestCallerDetectsDoubleRun(t *testing.T) {
	cases := []struct {
		name   string
		answer string
		keyed  bool
		want   Summary
	}{
		{"first run", `{"key":"r-0","run":1,"size":2}`, true, Summary{Correct: 1, Tries: 1}},
		{"second run", `{"key":"r-0","run":2,"size":2}`, true, Summary{Wrong: 1, Tries: 1}},
		{"another call's answer", `{"key":"r-1","run":1,"size":2}`, true, Summary{Wrong: 1, Tries: 1}},
		{"second run without key", `{"run":2,"size":2}`, false, Summary{Correct: 1, Tries: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, c.answer)
			}))
			defer server.Close()
			got, err := Run(t.Context(), Options{
				Addresses: []string{server.Listener.Addr().String()}, Deployment: "d", Count: 1, Timeout: 20 * time.Second,
				RequestID: "r", Method: http.MethodPost, Path: "sponsorships", Body: []byte("{}"), Keyed: c.keyed,
			})
			if err != nil || got.Correct != c.want.Correct || got.Wrong != c.want.Wrong || got.Tries != c.want.Tries {
				t.Errorf("got summary %+v and error %v, want %+v", got, err, c.want)
			}
		})
	}
}
