package vmlisthttp

import (
	"encoding/json"
	"fmt"
	"testing"

	"fescuespar/internal/core"
)

// BenchmarkList reports the encoded size per VM of a VM list and the time to decode
// the list.
func BenchmarkList(b *testing.B) {
	for _, vms := range []int{20, 670, 6710} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			list := vmsMessage{VMs: make([]vmMessage, vms)}
			for i := range list.VMs {
				list.VMs[i] = vmMessage{
					ID: core.ServerID(fmt.Sprintf("engine-%04d", i)), Kind: core.KindEngine, Service: "coach-model",
					Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), Zone: "qc-est-1", Region: "qc-est", State: core.VMLive,
				}
			}
			body, err := json.Marshal(list)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				var decoded vmsMessage
				if err := json.Unmarshal(body, &decoded); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(body))/float64(vms), "B/VM")
		})
	}
}
