package invariants

import (
	"fmt"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/lease"
	"fescuespar/internal/core/usage"
	"fescuespar/internal/errkind"
)

func (p *usageProcess) newAttempt() core.AttemptID { return p.system.store.newAttempt() }

func (p *usageProcess) advanceLease() {
	if p.leaseBusy {
		return
	}
	s := p.system
	action := p.tracker.Decide(p.now(), p.newAttempt())
	switch action.Kind {
	case lease.ActionWait:
	case lease.ActionRead:
		p.leaseBusy = true
		leaseKey, fenceKey := lease.Keys("duty|platform")
		var rows []core.Row
		s.callStore(p, false, func() { rows = s.store.read(leaseKey, fenceKey) }, func(outcome callOutcome) {
			p.leaseBusy = false
			if outcome != callAnswered {
				p.tracker.ReadFailed(p.now())
				return
			}
			p.tracker.Observe(rows[0], rows[1], p.now())
			p.advanceLease()
		})
	default:
		p.leaseBusy = true
		p.tracker.CommitSent(action, p.now())
		p.commit(action.Commit, func(result core.CommitResult, outcome callOutcome) {
			p.leaseBusy = false
			switch outcome {
			case callAnswered:
				p.tracker.Committed(result, p.now())
			case callRefused:
				p.tracker.CommitRefused(p.now())
			default:
				p.tracker.CommitLost(p.now())
			}
		})
	}
}

func (p *usageProcess) commit(commit core.Commit, done func(core.CommitResult, callOutcome)) {
	var result core.CommitResult
	p.system.callStore(p, true, func() { result = p.system.store.commit(commit) }, func(outcome callOutcome) { done(result, outcome) })
}

func (p *usageProcess) readMembers() {
	s := p.system
	var rows []core.Row
	s.callStore(p, false, func() { rows = s.store.rowsOf(core.TableMember, "members|") }, func(outcome callOutcome) {
		if outcome != callAnswered {
			return
		}
		records := make(map[core.VMID]core.MemberRecord)
		for _, row := range rows {
			records[core.VMID(row.Key.ID[len("members|"):])] = row.Record.(core.MemberRecord)
		}
		p.view.Observe(records, p.now())
		offsets, processes := p.view.ClockOffsets(p.vm)
		p.clock.SetOthers(offsets, processes, p.now())
	})
}

func (p *usageProcess) announce() {
	s := p.system
	p.clock.ObserveTimeOfDay(p.now(), s.trueTime().Add(p.jump))
	p.beat++
	record := core.MemberRecord{Incarnation: p.incarnation, Beat: p.beat, Every: 500 * time.Millisecond}
	record.Usage = new(core.MemberUsage)
	if offset, known := p.clock.Measured(p.now()); known {
		record.Usage.ClockOffset = offset
	}
	if trueTime, known := p.conversion(); known {
		record.Usage.CountedThrough = p.counter.CountedThrough(p.now(), trueTime)
	}
	key := core.RowKey{Table: core.TableMember, ID: fmt.Sprint("members|", p.vm)}
	p.commit(core.Commit{Attempt: p.newAttempt(), Writes: []core.Write{{Key: key, Record: record}}}, func(core.CommitResult, callOutcome) {})
}

func (p *usageProcess) conversion() (usage.TrueTime, bool) {
	now := p.now()
	at, known := p.clock.At(now)
	return func(t time.Time) time.Time { return t.Add(at.Sub(now)) }, known
}

func (p *usageProcess) writeCounts() {
	trueTime, known := p.conversion()
	if p.writing || !known {
		return
	}
	began := p.system.clock.Now()
	p.counter.Forget(p.now(), trueTime)
	commit, counts, found := p.counter.Write(trueTime, p.newAttempt())
	if !found {
		p.writtenAt = began
		return
	}
	p.writing = true
	p.commit(commit, func(result core.CommitResult, outcome callOutcome) {
		p.writing = false
		switch {
		case outcome != callAnswered:
		case result.Applied:
			p.counter.Written(counts, result.Version)
			p.writtenAt = began
		default:
			p.readCounts(commit, counts)
		}
	})
}

func (p *usageProcess) readCounts(commit core.Commit, counts []usage.Counts) {
	s := p.system
	var keys []core.RowKey
	for _, write := range commit.Writes {
		keys = append(keys, write.Key)
	}
	p.writing = true
	var rows []core.Row
	s.callStore(p, false, func() { rows = s.store.read(keys...) }, func(outcome callOutcome) {
		p.writing = false
		if outcome == callAnswered {
			p.counter.Conflict(counts, rows)
		}
	})
}

// perform does the work of the holder.
func (p *usageProcess) perform() {
	holding, held := p.tracker.Holding(p.now())
	trueTime, known := p.conversion()
	if !held || !known {
		return
	}
	if !p.ledgerBusy {
		if p.fence != holding.Fence {
			p.fence = holding.Fence
			p.ledger.Unload()
		}
		p.workOnLedger(holding, trueTime)
	}
	if p.fence == holding.Fence {
		p.sendReport(trueTime(p.now()))
	}
}

func (p *usageProcess) workOnLedger(holding lease.Holding, trueTime usage.TrueTime) {
	s := p.system
	var rows, settled []core.Row
	if !p.ledger.IsLoaded() {
		p.ledgerBusy = true
		s.callStore(p, false, func() { settled = s.store.read(usage.SettledKey) }, func(outcome callOutcome) {
			if p.ledgerBusy = outcome == callAnswered; !p.ledgerBusy {
				return
			}
			s.callStore(p, false, func() { rows = s.store.rowsOf(core.TableReport, usage.ReportsPrefix) }, func(outcome callOutcome) {
				if p.ledgerBusy = false; outcome == callAnswered {
					p.ledger.Load(settled[0], rows, trueTime(p.now()), trueTime(p.now()))
				}
			})
		})
		return
	}
	through, found := p.view.CountedThrough()
	ready, isReady := p.ledger.ReadyThrough(trueTime(p.now()), usage.Progress{
		CountedThrough: through, IsKnown: found, ReadableSince: trueTime(p.view.ReadableSince(p.now())), WriteInterval: usage.WriteInterval(len(s.processes)),
	})
	if !isReady {
		return
	}
	p.ledgerBusy = true
	s.callStore(p, false, func() { rows = s.store.rowsOf(core.TableUsage, usage.CountsPrefix) }, func(outcome callOutcome) {
		if p.ledgerBusy = outcome == callAnswered && p.ledger.IsLoaded(); !p.ledgerBusy {
			return
		}
		settlement := p.ledger.Settle(ready, rows, holding.Guard, p.newAttempt())
		p.commit(settlement.Commit, func(result core.CommitResult, outcome callOutcome) {
			p.ledgerBusy = false
			switch {
			case outcome == callRefused:
			case outcome == callUnknown:
				p.ledger.Unload()
			case result.Applied:
				if ready > through { // fixed at its due time, without the counts of some process
					s.forced++
					for _, other := range s.processes {
						other.allowLoss()
					}
				}
				p.ledger.Settled(settlement, result.Version)
				p.perform()
			default:
				p.ledger.CommitFailed(result.Failed)
			}
		})
	})
}

func (p *usageProcess) sendReport(trueNow time.Time) {
	report, found := p.ledger.NextReport(trueNow)
	if p.calling || !found || !p.pace.MayCall(p.now()) {
		return
	}
	timeout := p.pace.Begin(p.now())
	if _, allowed := p.tracker.StartOrder(p.now()); !allowed {
		p.pace.End(errkind.NotOwner, p.now())
		return
	}
	holding, _ := p.tracker.Holding(p.now())
	p.calling = true
	p.system.callPlatform(p, holding.Fence, report, timeout, func(outcome errkind.Kind) {
		p.calling = false
		if outcome == "" {
			p.ledger.Accepted(report.Window)
		}
		p.pace.End(outcome, p.now())
	})
}
