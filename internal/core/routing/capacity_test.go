package routing

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkFleetState reports the heap size of one server in the routing state
// and the duration of operations over all servers.
func BenchmarkFleetState(b *testing.B) {
	for _, servers := range serverCounts {
		before := heapBytes()
		state, random := loadedState(servers)
		perServer := (heapBytes() - before) / float64(servers)
		b.Run(fmt.Sprintf("views/servers=%d", servers), func(b *testing.B) {
			for range b.N {
				state.Views()
			}
			b.ReportMetric(perServer, "heap-B/server")
		})
		b.Run(fmt.Sprintf("engines-of-a-ninth/servers=%d", servers), func(b *testing.B) {
			vms := engineVMs(servers)
			for i := range vms {
				vms[i].Service = fmt.Sprint("model-", i%9)
			}
			ninth := NewState(DefaultPolicy())
			ninth.ApplyVMs(vms)
			for b.Loop() {
				ninth.EnginesOfService("model-0")
			}
		})
		b.Run(fmt.Sprintf("sweep/servers=%d", servers), func(b *testing.B) {
			for range b.N {
				state.Sweep(testStart.Add(time.Second), random)
			}
		})
	}
}

func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
