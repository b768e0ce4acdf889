package metrics

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkSet reports the heap bytes of one process's metrics.
func BenchmarkSet(b *testing.B) {
	for _, sets := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("sets=%d", sets), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			all := make([]*Set, sets)
			for i := range all {
				all[i] = New()
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(sets), "heap-B/set")
			runtime.KeepAlive(all)
		})
	}
}
