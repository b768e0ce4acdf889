package tables

import (
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/lease"
)

// TestReleasedLeaseCanBeFollowedAgain guards against a process that stops being
// a candidate for a moment, because members flap, and then never competes for
// the lease again.
func TestReleasedLeaseCanBeFollowedAgain(t *testing.T) {
	timing := lease.Timing{Term: 10 * time.Second, RenewEvery: 3 * time.Second, Margin: time.Second}
	leases := NewLeases(lease.Self{VM: "vm1", Incarnation: 1}, timing)
	now := time.Unix(1000, 0)
	leaseKey, fenceKey := lease.Keys("x")
	leases.Follow("x")
	if action := leases.Begin("x", now, "a"); action.Kind != lease.ActionRead {
		t.Fatalf("first action %v", action.Kind)
	}
	leases.Release("x")
	leases.End("x", func(tracker *lease.Tracker) {
		tracker.Observe(core.Row{Key: leaseKey}, core.Row{Key: fenceKey}, now)
	})
	leases.Follow("x")
	if action := leases.Begin("x", now, "b"); action.Kind != lease.ActionRead {
		t.Errorf("action after release and second Follow: %v, want %v", action.Kind, lease.ActionRead)
	}
}
