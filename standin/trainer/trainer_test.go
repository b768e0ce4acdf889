package trainer

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"fescuespar/internal/core"
)

// batchJSON returns a batch with one sample.
func batchJSON(step, sample, spans string) string {
	return `{"step":` + step + `,"weight_version":9,"groups":[{"samples":[{"id":"` + sample +
		`","text":"ab","tokens":["a","b"],"spans":[` + spans + `]}]}]}`
}

func TestTrainerChecksBatches(t *testing.T) {
	const fresh = `{"from":0,"to":2,"weight_version":9}`
	const notReady = `{"error":{"kind":"batch_not_ready","ran":"not_run","retryable":true}}`
	const conflict = `{"error":{"kind":"step_conflict","ran":"not_run","retryable":false}}`
	cases := []struct {
		name    string
		answers []string // answers to batch requests; an empty one cuts the connection
		steps   int
		twice   bool
		want    Summary
		fails   bool
	}{
		{name: "fresh", answers: []string{batchJSON("1", "s", fresh)}, steps: 1, want: Summary{Steps: 1, Samples: 1}},
		{name: "not ready at first", answers: []string{notReady, batchJSON("1", "s", fresh)}, steps: 1, want: Summary{Steps: 1, Samples: 1}},
		{name: "reply lost", answers: []string{"", batchJSON("1", "s", fresh)}, steps: 1, want: Summary{Steps: 1, Samples: 1}},
		{
			name: "repeated sample", answers: []string{batchJSON("1", "s", fresh), batchJSON("2", "s", fresh)}, steps: 2,
			want: Summary{Steps: 2, Samples: 2, Repeated: 1},
		},
		{
			name: "within the bound", answers: []string{batchJSON("1", "s", `{"from":0,"to":1,"weight_version":7},{"from":1,"to":2,"weight_version":9}`)}, steps: 1,
			want: Summary{Steps: 1, Samples: 1, WorstLag: 2},
		},
		{
			name: "stale", answers: []string{batchJSON("1", "s", `{"from":0,"to":1,"weight_version":6},{"from":1,"to":2,"weight_version":9}`)}, steps: 1,
			want: Summary{Steps: 1, Samples: 1, WorstLag: 3, Stale: 1},
		},
		{name: "gap in the spans", answers: []string{batchJSON("1", "s", `{"from":1,"to":2,"weight_version":9}`)}, steps: 1, want: Summary{Steps: 1, Samples: 1, Malformed: 1}},
		{name: "spans too short", answers: []string{batchJSON("1", "s", `{"from":0,"to":1,"weight_version":9}`)}, steps: 1, want: Summary{Steps: 1, Samples: 1, Malformed: 1}},
		{name: "no version", answers: []string{batchJSON("1", "s", `{"from":0,"to":2}`)}, steps: 1, want: Summary{Steps: 1, Samples: 1, Malformed: 1}},
		{name: "same copy", answers: []string{batchJSON("1", "s", fresh)}, steps: 1, twice: true, want: Summary{Steps: 1, Samples: 1}},
		{
			name: "other copy", answers: []string{batchJSON("1", "s", fresh), batchJSON("1", "other", fresh)}, steps: 1, twice: true,
			want: Summary{Steps: 1, Samples: 1, DifferentCopy: 1},
		},
		{name: "conflict", answers: []string{conflict}, steps: 1, fails: true},
		{name: "another step's batch", answers: []string{batchJSON("2", "s", fresh)}, steps: 1, fails: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			requests := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if !strings.HasSuffix(r.URL.Path, "/batch") {
					_, _ = io.WriteString(w, "{}")
					return
				}
				answer := c.answers[min(requests, len(c.answers)-1)]
				requests++
				if answer == "" {
					panic(http.ErrAbortHandler)
				}
				if strings.HasPrefix(answer, `{"error"`) {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
				_, _ = io.WriteString(w, answer)
			}))
			defer server.Close()
			got, err := Run(t.Context(), Options{
				Addresses: []string{server.Listener.Addr().String()}, Token: "t", Deployment: core.DeploymentName("d"),
				FirstStep: 1, FirstVersion: 9, Steps: c.steps, StalenessBound: 2, StepTimeout: 20 * time.Second, FetchTwice: c.twice,
			})
			got.IdleMS = 0
			if (err != nil) != c.fails || got != c.want {
				t.Errorf("got summary %+v and error %v, want %+v", got, err, c.want)
			}
		})
	}
}
