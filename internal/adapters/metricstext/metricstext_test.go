package metricstext

import (
	"net/http/httptest"
	"strings"
	"testing"

	"fescuespar/internal/metrics"
)

func TestMetricsAreServedAsText(t *testing.T) {
	set := metrics.NewRelay()
	set.RequestsServed.Inc(3)
	for i := range 100 {
		set.RequestTime.Update(int64(i))
	}
	recorder := httptest.NewRecorder()
	Handler(set.Registry).ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	text := recorder.Body.String()
	for _, line := range []string{"relay_requests_served_total 3\n", "relay_request_ms_count 100\n", "relay_request_ms{quantile=\"1\"} 99\n", "relay_jobs_accepted_total 0\n"} {
		if !strings.Contains(text, line) {
			t.Errorf("output does not contain line %q:\n%s", line, text)
		}
	}
}
