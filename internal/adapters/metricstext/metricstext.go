// Package metricstext serves metrics in the text format of common scrapers: one
// line per value, with quantiles as labels.
package metricstext

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
)

// quantiles are the quantiles written for each histogram.
var quantiles = []float64{0.5, 0.9, 0.99, 1}

// Handler returns a handler that serves the metrics of a registry.
func Handler(registry gometrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		Write(w, registry)
	})
}

// Write writes every metric of a registry, sorted by name. It ignores write
// errors, which occur when the client has disconnected.
func Write(w io.Writer, registry gometrics.Registry) {
	var lines []string
	registry.Each(func(name string, metric any) {
		name = strings.ReplaceAll(name, ".", "_")
		switch m := metric.(type) {
		case gometrics.Counter:
			lines = append(lines, fmt.Sprintf("%s_total %d\n", name, m.Count()))
		case gometrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d\n", name, m.Value()))
		case gometrics.Histogram:
			lines = append(lines, formatHistogram(name, m.Snapshot())...)
		}
	})
	slices.Sort(lines)
	_, _ = io.WriteString(w, strings.Join(lines, ""))
}

func formatHistogram(name string, h gometrics.Histogram) []string {
	lines := []string{
		fmt.Sprintf("%s_count %d\n", name, h.Count()),
		fmt.Sprintf("%s_sum %d\n", name, h.Sum()),
	}
	for i, value := range h.Percentiles(quantiles) {
		lines = append(lines, fmt.Sprintf("%s{quantile=\"%g\"} %g\n", name, quantiles[i], value))
	}
	return lines
}
