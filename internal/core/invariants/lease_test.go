package invariants

import (
	"fmt"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/lease"
)

var timing = lease.Timing{Term: 10 * time.Second, RenewEvery: 3 * time.Second, Margin: time.Second, LongestOrder: 30 * time.Second}

const leaseProcesses = 3

// drift is the rate by which each process's clock runs fast or slow, in percent.
var drift = [leaseProcesses]int{0, 4, -4}

type order struct {
	vm    int
	fence core.Fence
	ends  time.Duration // latest time of its effect
}

// leaseSystem is a set of processes that compete for one lease.
type leaseSystem struct {
	store       *store
	now         time.Duration // actual time
	trackers    [leaseProcesses]*lease.Tracker
	incarnation [leaseProcesses]core.Incarnation
	replies     [leaseProcesses]*core.CommitResult // replies to be delivered later
	orders      []order
	workFence   core.Fence
	timing      lease.Timing
}

func newLeases(timing lease.Timing) *leaseSystem {
	s := &leaseSystem{store: newStore(), timing: timing}
	for i := range s.trackers {
		s.restart(i)
	}
	return s
}

func (s *leaseSystem) restart(i int) {
	s.incarnation[i]++
	s.replies[i] = nil
	s.trackers[i] = lease.New("x", lease.Self{VM: core.VMID(fmt.Sprint("vm", i)), Incarnation: s.incarnation[i]}, s.timing)
}

func (s *leaseSystem) clock(i int) time.Time {
	return time.Unix(int64(1000*i), 0).Add(s.now * time.Duration(100+drift[i]) / 100)
}

func (s *leaseSystem) step(d choice) string {
	i := d.actor % leaseProcesses
	tracker, now := s.trackers[i], s.clock(i)
	switch op := d.op % 20; {
	case op < 5:
		s.now += time.Duration(d.variant%4000) * time.Millisecond
	case op < 12:
		s.performAction(i, tracker, now, sendOutcome(d.variant%sendOutcomes), d.variant/sendOutcomes%4 == 0)
	case op == 12:
		if s.replies[i] != nil {
			tracker.Committed(*s.replies[i], now)
			s.replies[i] = nil
		}
	case op == 13 && d.variant%4 == 0:
		s.restart(i)
		if d.variant%8 == 0 { // and is stopped as planned as soon as it has read the rows and acquired the lease
			for range 2 {
				s.performAction(i, s.trackers[i], now, answered, false)
			}
			s.trackers[i].Leave()
		}
	case op == 14 && d.variant%2 == 0:
		tracker.Leave()
		if tracker.HasLeft() {
			s.restart(i)
		}
	case op == 15:
		return s.deliverDelayed(d.variant)
	case op == 16 || op == 13 && d.variant%4 > 1:
		return s.commitGuarded(tracker, now, d.variant%8 != 0)
	case op == 17 || op == 18:
		return s.startOrder(i, tracker, now)
	case op == 19:
		return s.deliverDelayed(d.variant)
	}
	return s.checkSingleHolder()
}

// performAction performs the next action of the tracker. If delayed is set, a reply
// is delivered later.
func (s *leaseSystem) performAction(i int, tracker *lease.Tracker, now time.Time, outcome sendOutcome, delayed bool) {
	action := tracker.Decide(now, s.store.newAttempt())
	switch action.Kind {
	case lease.ActionWait:
	case lease.ActionRead:
		if outcome == refused {
			tracker.ReadFailed(now)
			return
		}
		leaseKey, fenceKey := lease.Keys("x")
		rows := s.store.read(leaseKey, fenceKey)
		tracker.Observe(rows[0], rows[1], now)
	default:
		tracker.CommitSent(action, now)
		result, ok := s.store.send(action.Commit, outcome)
		switch {
		case ok && delayed:
			s.replies[i] = &result
		case ok:
			tracker.Committed(result, now)
		case outcome == refused:
			tracker.CommitRefused(now)
		default:
			tracker.CommitLost(now)
		}
	}
}

var workKey = core.RowKey{Table: core.TableWeight, ID: "x"}

// commitGuarded sends a commit that is guarded by the lease, or delays it if late is
// set.
func (s *leaseSystem) commitGuarded(tracker *lease.Tracker, now time.Time, late bool) string {
	holding, held := tracker.Holding(now)
	if !held {
		return ""
	}
	commit := core.Commit{
		Attempt:    s.store.newAttempt(),
		Conditions: []core.Condition{holding.Guard},
		Writes:     []core.Write{{Key: workKey, Record: core.WeightRecord{Version: core.WeightVersion(holding.Fence)}}},
	}
	if late {
		s.store.delayed = append(s.store.delayed, commit)
		return ""
	}
	return s.checkGuardedCommit(commit, s.store.commit(commit))
}

func (s *leaseSystem) deliverDelayed(which int) string {
	return s.checkGuardedCommit(s.store.deliverDelayed(which))
}

func (s *leaseSystem) checkGuardedCommit(commit core.Commit, result core.CommitResult) string {
	if !result.Applied || commit.Writes[0].Key != workKey {
		return ""
	}
	fence := core.Fence(commit.Writes[0].Record.(core.WeightRecord).Version)
	if fence < s.workFence {
		return fmt.Sprintf("a commit under fence %d took effect after one under fence %d", fence, s.workFence)
	}
	s.workFence = fence
	return ""
}

// startOrder sends an order to an engine that ignores fencing numbers. At that time
// no order of a former holder may still take effect, except, with OrdersByVM, one of
// an earlier process on the same VM.
func (s *leaseSystem) startOrder(i int, tracker *lease.Tracker, now time.Time) string {
	if _, allowed := tracker.StartOrder(now); !allowed {
		return ""
	}
	holding, _ := tracker.Holding(now)
	for _, o := range s.orders {
		if s.timing.OrdersByVM && o.vm == i {
			continue
		}
		if o.fence < holding.Fence && o.ends > s.now {
			return fmt.Sprintf("order sent under fence %d while one under fence %d may still take effect", holding.Fence, o.fence)
		}
	}
	s.orders = append(s.orders, order{vm: i, fence: holding.Fence, ends: s.now + s.timing.LongestOrder})
	return ""
}

func (s *leaseSystem) checkSingleHolder() string {
	holders := 0
	for i, tracker := range s.trackers {
		if _, held := tracker.Holding(s.clock(i)); held {
			holders++
		}
	}
	if holders > 1 {
		return fmt.Sprintf("%d processes hold the lease", holders)
	}
	return ""
}

func TestLeaseInvariants(t *testing.T) {
	byVM := timing
	byVM.OrdersByVM = true
	for name, timing := range map[string]lease.Timing{"orders of processes": timing, "orders of VMs": byVM} {
		t.Run(name, func(t *testing.T) {
			takeovers := 0
			checkInvariants(t, 20261204, func() system {
				return &countingLeaseSystem{leaseSystem: newLeases(timing), takeovers: &takeovers}
			})
			if takeovers < runs {
				t.Errorf("%d changes of holder in %d runs, want at least one per run: the commands do not exercise the lease", takeovers, runs)
			}
		})
	}
}

// countingLeaseSystem counts the changes of holder over all runs.
type countingLeaseSystem struct {
	*leaseSystem
	fence     core.Fence
	takeovers *int
}

func (c *countingLeaseSystem) step(d choice) string {
	violated := c.leaseSystem.step(d)
	_, fenceKey := lease.Keys("x")
	if record, found := c.store.rows[fenceKey].Record.(core.FenceRecord); found && record.Number != c.fence {
		c.fence = record.Number
		*c.takeovers++
	}
	return violated
}
