package platform

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/ports/porttest/faults"
)

// manualClock is a clock that tests advance.
type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

func newManualClock() *manualClock { return &manualClock{now: time.Unix(1000, 0)} }

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func start(t *testing.T, options Options) (string, *Client) {
	t.Helper()
	handler := New(options)
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.Close()
		handler.Close()
	})
	return server.URL, NewClient(server.URL)
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// exchange sends a call and returns the status and body of its reply. The
// status is zero if no complete reply arrived.
func exchange(t *testing.T, method, url, body string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	must(t, err)
	request.Header.Set(RegionHeader, "qc-ouest")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	must(t, err)
	return response.StatusCode, string(answer)
}

func TestInvalidCallsAreRejectedWithoutEffect(t *testing.T) {
	base, client := start(t, Options{MaxTableBytes: 200, MaxObjectBytes: 200})
	must(t, client.PutWeights(t.Context(), "coach", 1, []byte("first")))
	oversize := strings.Repeat("x", 201)
	cases := []struct {
		name, method, path, body string
		status                   int
	}{
		{"truncated", "POST", "/tables/commit", `{"writes":[`, 400},
		{"data after the message", "POST", "/tables/commit", `{}{}`, 400},
		{"unknown field", "POST", "/tables/commit", `{"wrtes":[]}`, 400},
		{"wrong type", "POST", "/tables/read", `{"keys":7}`, 400},
		{"oversize commit", "POST", "/tables/commit", `{"attempt":"` + oversize + `"}`, 413},
		{"oversize object", "PUT", "/object?key=k", oversize, 413},
		{"oversize weights", "PUT", "/weights/coach/2", oversize, 413},
		{"other weights", "PUT", "/weights/coach/1", "second", 409},
		{"unknown weights", "GET", "/weights/coach/3", "", 404},
		{"list without a limit", "GET", "/objects", "", 400},
		{"unknown event", "POST", "/control/faults", `{"operation":"commit","event":"explode"}`, 400},
		{"state of an unknown VM", "POST", "/control/vms/state", `{"id":"x","state":"leaving"}`, 404},
		{"unknown state", "POST", "/control/vms", `{"id":"x","state":"odd"}`, 400},
		{"negative lag", "POST", "/control/vms/lag", `{"lag_ms":-1}`, 400},
	}
	for _, c := range cases {
		if status, body := exchange(t, c.method, base+c.path, c.body); status != c.status {
			t.Errorf("%s: status %d %s, want %d", c.name, status, body, c.status)
		}
	}
	counters, err := client.Counters(t.Context())
	must(t, err)
	if counters.Tables.Commits != 0 || counters.Objects.Puts != 0 {
		t.Errorf("counters %+v after rejected calls, want no commit and no put", counters)
	}
}

func TestVMListIsServedWithLag(t *testing.T) {
	clock := newManualClock()
	base, client := start(t, Options{VMListLag: 10 * time.Second, Now: clock.Now})
	vm := core.VM{ID: "e1", Kind: core.KindEngine, State: core.VMLive}
	steps := []struct {
		name    string
		change  func() error
		advance time.Duration
		state   string // as served; empty if the VM is not in the list
	}{
		{"registered", func() error { return client.AddVM(t.Context(), vm) }, 9 * time.Second, ""},
		{"served", nil, time.Second, "live"},
		{"leaving", func() error { return client.SetVMState(t.Context(), vm.ID, core.VMLeaving) }, 9 * time.Second, "live"},
		{"served as leaving", nil, time.Second, "leaving"},
		{"removed", func() error { return client.RemoveVM(t.Context(), vm.ID) }, 9 * time.Second, "leaving"},
		{"gone", nil, time.Second, ""},
		{"without lag", func() error {
			if err := client.SetVMListLag(t.Context(), 0); err != nil {
				return err
			}
			return client.AddVM(t.Context(), vm)
		}, 0, "live"},
	}
	for _, s := range steps {
		if s.change != nil {
			must(t, s.change())
		}
		clock.advance(s.advance)
		_, body := exchange(t, "GET", base+"/vms", "")
		listed := strings.Contains(body, `"id":"e1"`)
		if listed != (s.state != "") || listed && !strings.Contains(body, `"state":"`+s.state+`"`) {
			t.Errorf("%s: served %s, want state %q", s.name, body, s.state)
		}
	}
}

func TestOutageEndsAfterItsDuration(t *testing.T) {
	clock := newManualClock()
	base, client := start(t, Options{Now: clock.Now})
	must(t, client.AddFaultRule(t.Context(), faults.Outage(5*time.Second)))
	paths := []string{"/vms", "/objects?limit=1", "/weights/coach/1"}
	for _, path := range paths {
		if status, _ := exchange(t, "GET", base+path, ""); status != http.StatusServiceUnavailable {
			t.Errorf("%s during the outage: status %d, want %d", path, status, http.StatusServiceUnavailable)
		}
	}
	clock.advance(5 * time.Second)
	for _, path := range paths {
		if status, _ := exchange(t, "GET", base+path, ""); status == http.StatusServiceUnavailable {
			t.Errorf("%s is still refused after the outage", path)
		}
	}
	counters, err := client.Counters(t.Context())
	must(t, err)
	if got := counters.FaultsTaken[faults.Refuse]; got != uint64(len(paths)) {
		t.Errorf("%d calls were refused, want %d", got, len(paths))
	}
}

func TestWeightFaultsAndCounters(t *testing.T) {
	base, client := start(t, Options{})
	must(t, client.PutWeights(t.Context(), "coach", 1, []byte("weights")))
	cases := []struct {
		event  faults.Event
		status int
		reads  uint64
	}{
		{faults.Refuse, http.StatusServiceUnavailable, 0},
		{faults.DropBefore, 0, 0},
		{faults.DropAfter, 0, 1},
	}
	for _, c := range cases {
		before, err := client.Counters(t.Context())
		must(t, err)
		must(t, client.AddFaultRule(t.Context(), faults.Rule{Operation: faults.Weights, Event: c.event, Count: 1}))
		status, _ := exchange(t, "GET", base+"/weights/coach/1", "")
		after, err := client.Counters(t.Context())
		must(t, err)
		reads := after.Weights["qc-ouest"].Reads - before.Weights["qc-ouest"].Reads
		if status != c.status || reads != c.reads {
			t.Errorf("%s: status %d, %d reads, want %d and %d", c.event, status, reads, c.status, c.reads)
		}
	}
	if status, body := exchange(t, "GET", base+"/weights/coach/1", ""); status != http.StatusOK || body != "weights" {
		t.Errorf("read after the faults: status %d and body %q, want the weights", status, body)
	}
}

func TestLimiterReservesAtItsRate(t *testing.T) {
	start := time.Unix(1000, 0)
	steps := []struct {
		at    time.Duration
		count int
		wait  time.Duration
	}{
		{0, 50, 0},                                 // covered by the burst
		{0, 100, 500 * time.Millisecond},           // 50 bytes short at 100 bytes per second
		{0, 100, 1500 * time.Millisecond},          // waits for the previous reservation too
		{time.Second, 0, 500 * time.Millisecond},   // 100 bytes were refilled
		{time.Minute, 150, 500 * time.Millisecond}, // the burst limits the accumulated bytes
	}
	limits := newLimiter(100, 100)
	for i, s := range steps {
		if got := limits.reserve(start.Add(s.at), s.count); got != s.wait {
			t.Errorf("step %d: wait %v, want %v", i, got, s.wait)
		}
	}
	if got := newLimiter(0, 0).reserve(start, 1<<30); got != 0 {
		t.Errorf("wait %v without a rate limit, want 0", got)
	}
}

func TestRateLimitedWriteStopsWhenContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var written bytes.Buffer
	body := make([]byte, 3*rateLimitedChunkBytes)
	writeRateLimited(ctx, &written, body, newLimiter(1, rateLimitedChunkBytes), time.Now)
	if written.Len() >= len(body) {
		t.Error("complete body was written although the context had ended")
	}
}
