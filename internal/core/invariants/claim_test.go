package invariants

import (
	"fmt"
	"testing"

	"fescuespar/internal/core"
	"fescuespar/internal/core/attempt"
	"fescuespar/internal/core/claim"
)

const (
	claimProcesses = 3
	claimKeys      = 4
)

// claimProcess is an entry process that claims requests in groups.
type claimProcess struct {
	self         claim.Owner
	pending      []core.Commit
	inFlight     *claim.Batch                // sent, outcome unknown
	undispatched map[core.AttemptID]struct{} // inserts whose requests are not dispatched yet
}

// claimSystem is a set of entry processes that get the same requests from a caller.
type claimSystem struct {
	store     *store
	entries   [claimProcesses]*claimProcess
	runs      [claimKeys]int
	totalRuns *int // requests that ran, over all systems
}

func newClaims(seen *int) *claimSystem {
	s := &claimSystem{store: newStore(), totalRuns: seen}
	for i := range s.entries {
		s.restart(i)
	}
	return s
}

func (s *claimSystem) restart(i int) {
	incarnation := core.Incarnation(1)
	if s.entries[i] != nil {
		incarnation = s.entries[i].self.Incarnation + 1
	}
	s.entries[i] = &claimProcess{
		self:         claim.Owner{VM: core.VMID(fmt.Sprint("vm", i)), Incarnation: incarnation},
		undispatched: make(map[core.AttemptID]struct{}),
	}
}

func claimRequest(key int) claim.Request {
	return claim.Request{Key: claim.Key("donors", "receipts", core.IdempotencyKey(fmt.Sprint(key))), Fingerprint: uint64(key)}
}

func (s *claimSystem) step(d choice) string {
	e := s.entries[d.actor%claimProcesses]
	switch op := d.op % 10; {
	case op < 4:
		return s.planClaim(e, d.variant%claimKeys, d.variant/claimKeys%2 == 0)
	case op < 8:
		return s.sendPending(e, d)
	case op == 8:
		s.store.deliverDelayed(d.variant)
	case d.variant%4 == 0:
		s.restart(d.actor % claimProcesses)
	}
	return ""
}

// planClaim plans the claim of a request, from its row or on the assumption that the row
// is absent.
func (s *claimSystem) planClaim(e *claimProcess, key int, read bool) string {
	request := claimRequest(key)
	row := core.Row{Key: request.Key}
	if read {
		row = s.store.read(request.Key)[0]
	}
	decision := claim.Plan(row, request, e.self, s.store.newAttempt())
	switch decision.Kind {
	case claim.Insert:
		e.undispatched[decision.Commit.Attempt] = struct{}{}
		e.pending = append(e.pending, decision.Commit)
	case claim.Replay:
		if s.runs[key] != 1 {
			return fmt.Sprintf("an outcome is recorded for a request that ran %d times", s.runs[key])
		}
	}
	return ""
}

// sendPending sends the pending commits as one, or resolves the commit in flight by
// re-reading its rows.
func (s *claimSystem) sendPending(e *claimProcess, d choice) string {
	if e.inFlight != nil {
		rows := s.store.read(attempt.KeysToRead(e.inFlight.Commit)...)
		verdict, split := e.inFlight.Resolve(rows)
		if verdict == attempt.Retry {
			return s.send(e, *e.inFlight, d)
		}
		e.inFlight = nil
		return s.applyOutcome(e, split, rows, 0, d.variant)
	}
	batch, rest := claim.NewBatch(s.store.newAttempt(), e.pending)
	e.pending = rest
	if len(batch.Members) == 0 {
		return ""
	}
	return s.send(e, batch, d)
}

func (s *claimSystem) send(e *claimProcess, batch claim.Batch, d choice) string {
	outcome := sendOutcome(d.variant % sendOutcomes)
	repeated := e.inFlight != nil
	result, ok := s.store.send(batch.Commit, outcome)
	if outcome == refused && !repeated {
		e.pending = append(e.pending, batch.Members...)
		return ""
	}
	if !ok || repeated && !result.Applied {
		e.inFlight = &batch
		return ""
	}
	e.inFlight = nil
	return s.applyOutcome(e, batch.ApplyReply(result), nil, result.Version, d.variant)
}

// applyOutcome dispatches the requests whose claims took effect.
func (s *claimSystem) applyOutcome(e *claimProcess, outcome claim.BatchOutcome, rows []core.Row, version core.RowVersion, variant int) string {
	e.pending = append(e.pending, outcome.Retry...)
	for _, member := range outcome.Refused {
		delete(e.undispatched, member.Attempt)
	}
	for _, member := range outcome.Applied {
		if _, isInsert := e.undispatched[member.Attempt]; !isInsert {
			continue // records an outcome or a release
		}
		delete(e.undispatched, member.Attempt)
		at := version
		for _, row := range rows {
			if row.Key == member.Writes[0].Key {
				at = row.Version
			}
		}
		if violated := s.dispatch(e, member, at, variant); violated != "" {
			return violated
		}
	}
	return ""
}

// dispatch simulates sending a request to the backend server: it may not run, with or
// without proof of that, or run, with its outcome recorded or not.
func (s *claimSystem) dispatch(e *claimProcess, member core.Commit, version core.RowVersion, variant int) string {
	key, record := claim.InsertedRecord(member)
	switch variant / sendOutcomes % 4 {
	case 0:
		e.pending = append(e.pending, claim.ReleaseNotRun(key, version, record, s.store.newAttempt()))
		return ""
	case 1:
		return "" // did not run, without proof of that
	}
	*s.totalRuns++
	s.runs[record.Fingerprint]++
	if s.runs[record.Fingerprint] > 1 {
		return fmt.Sprintf("request %d ran twice", record.Fingerprint)
	}
	if variant/sendOutcomes%4 == 2 {
		outcome := claim.RecordOutcome(key, version, record, core.PlainResponse{Status: 201}, s.store.newAttempt())
		e.pending = append(e.pending, outcome)
	}
	return ""
}

func TestClaimInvariants(t *testing.T) {
	seen := 0
	checkInvariants(t, 20261204, func() system { return newClaims(&seen) })
	if seen < runs {
		t.Errorf("%d requests ran in %d runs, want at least one per run: the commands do not exercise the backend server", seen, runs)
	}
}
