package peerquic

import (
	"fmt"
	"testing"

	"fescuespar/internal/core"
)

// BenchmarkHeartbeatSize reports how many bytes the limit update of one
// deployment adds to a heartbeat.
func BenchmarkHeartbeatSize(b *testing.B) {
	empty, err := HeartbeatSize(core.Heartbeat{Sender: fullMember("entry-1")})
	if err != nil {
		b.Fatal(err)
	}
	for _, deployments := range []int{1, 9, 20, 64} {
		b.Run(fmt.Sprintf("deployments=%d", deployments), func(b *testing.B) {
			heartbeat := core.Heartbeat{Sender: fullMember("entry-1")}
			for i := range deployments {
				heartbeat.Limits = append(heartbeat.Limits, limitUpdate(i))
			}
			size := 0
			for b.Loop() {
				if size, err = HeartbeatSize(heartbeat); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size-empty)/float64(deployments), "B/deployment")
		})
	}
}

func limitUpdate(i int) core.LimitUpdate {
	epoch := core.AccountEpoch{Incarnation: 1_764_838_000_000, Reset: 40}
	return core.LimitUpdate{
		Deployment: core.DeploymentName(fmt.Sprint("coach-", i)), Epoch: epoch, Seen: epoch,
		Lent: 300, Demand: 40, Held: 33, Cleared: true,
	}
}
