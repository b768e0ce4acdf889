package metrics

import (
	gometrics "github.com/rcrowley/go-metrics"

	"fescuespar/internal/core/routing"
)

// Rejections are gauges of the servers that were not eligible in explained decisions which
// found no server, since the start, one for each reason.
type Rejections struct {
	gauges [len(routing.Rejections{})]gometrics.Gauge
}

// rejectionsPrefix begins the names of the gauges, which end with the reason.
const rejectionsPrefix = "relay.servers.rejected."

func newRejections(registry gometrics.Registry) *Rejections {
	r := &Rejections{}
	for reason := range r.gauges {
		r.gauges[reason] = gometrics.NewRegisteredGauge(rejectionsPrefix+routing.Reason(reason).String(), registry)
	}
	return r
}

// Update sets the gauges.
func (r *Rejections) Update(counts routing.Rejections) {
	for reason, count := range counts {
		r.gauges[reason].Update(int64(count))
	}
}
