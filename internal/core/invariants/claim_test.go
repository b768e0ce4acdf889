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

// entry is one entry process that claims requests in groups.
type entry struct {
	self    claim.Owner
	waiting []core.Commit
	flying  *claim.Batch                // sent, outcome unknown
	taken   map[core.AttemptID]struct{} // inserts of this process not yet dispatched
}

// claims is three entry processes to which a caller sends the same requests.
type claims struct {
	store   *store
	entries [claimProcesses]*entry
	runs    [claimKeys]int
	seen    *int // runs of all systems
}

func newClaims(seen *int) *claims {
	s := &claims{store: newStore(), seen: seen}
	for i := range s.entries {
		s.restart(i)
	}
	return s
}

func (s *claims) restart(i int) {
	incarnation := core.Incarnation(1)
	if s.entries[i] != nil {
		incarnation = s.entries[i].self.Incarnation + 1
	}
	s.entries[i] = &entry{
		self:  claim.Owner{VM: core.VMID(fmt.Sprint("vm", i)), Incarnation: incarnation},
		taken: make(map[core.AttemptID]struct{}),
	}
}

func claimRequest(key int) claim.Request {
	return claim.Request{Key: claim.Key("donors", "receipts", core.IdempotencyKey(fmt.Sprint(key))), Fingerprint: uint64(key)}
}

func (s *claims) step(d dice) string {
	e := s.entries[d.who%claimProcesses]
	switch op := d.op % 10; {
	case op < 4:
		return s.ask(e, d.how%claimKeys, d.how/claimKeys%2 == 0)
	case op < 8:
		return s.flush(e, d)
	case op == 8:
		s.store.arrive(d.how)
	case d.how%4 == 0:
		s.restart(d.who % claimProcesses)
	}
	return ""
}

// ask plans a request, from its row or from the assumption that it is absent.
func (s *claims) ask(e *entry, key int, read bool) string {
	request := claimRequest(key)
	row := core.Row{Key: request.Key}
	if read {
		row = s.store.read(request.Key)[0]
	}
	decision := claim.Plan(row, request, e.self, s.store.attempt())
	switch decision.Kind {
	case claim.Insert:
		e.taken[decision.Commit.Attempt] = struct{}{}
		e.waiting = append(e.waiting, decision.Commit)
	case claim.Replay:
		if s.runs[key] != 1 {
			return fmt.Sprintf("an outcome is recorded of a request that ran %d times", s.runs[key])
		}
	}
	return ""
}

// flush sends the waiting commits as one, or reads the lost one's rows again.
func (s *claims) flush(e *entry, d dice) string {
	if e.flying != nil {
		rows := s.store.read(attempt.Keys(e.flying.Commit)...)
		verdict, split := e.flying.Resolve(rows)
		if verdict == attempt.Retry {
			return s.send(e, *e.flying, d)
		}
		e.flying = nil
		return s.settle(e, split, rows, 0, d.how)
	}
	batch, rest := claim.NewBatch(s.store.attempt(), e.waiting)
	e.waiting = rest
	if len(batch.Members) == 0 {
		return ""
	}
	return s.send(e, batch, d)
}

func (s *claims) send(e *entry, batch claim.Batch, d dice) string {
	f := fate(d.how % fates)
	repeated := e.flying != nil
	result, ok := s.store.send(batch.Commit, f)
	if f == refused && !repeated {
		e.waiting = append(e.waiting, batch.Members...)
		return ""
	}
	if !ok || repeated && !result.Applied {
		e.flying = &batch
		return ""
	}
	e.flying = nil
	return s.settle(e, batch.Settle(result), nil, result.Version, d.how)
}

// settle dispatches the claims that took effect.
func (s *claims) settle(e *entry, split claim.Split, rows []core.Row, version core.RowVersion, how int) string {
	e.waiting = append(e.waiting, split.Again...)
	for _, member := range split.Refused {
		delete(e.taken, member.Attempt)
	}
	for _, member := range split.Applied {
		if _, mine := e.taken[member.Attempt]; !mine {
			continue // an outcome or a release
		}
		delete(e.taken, member.Attempt)
		at := version
		for _, row := range rows {
			if row.Key == member.Writes[0].Key {
				at = row.Version
			}
		}
		if violated := s.dispatch(e, member, at, how); violated != "" {
			return violated
		}
	}
	return ""
}

// dispatch sends one request to the backend server.
func (s *claims) dispatch(e *entry, member core.Commit, version core.RowVersion, how int) string {
	key, record := claim.Taken(member)
	switch how / fates % 4 {
	case 0:
		e.waiting = append(e.waiting, claim.ReleaseUnrun(key, version, record, s.store.attempt()))
		return ""
	case 1:
		return "" // nobody knows, and it did not run
	}
	*s.seen++
	s.runs[record.Fingerprint]++
	if s.runs[record.Fingerprint] > 1 {
		return fmt.Sprintf("request %d ran twice", record.Fingerprint)
	}
	if how/fates%4 == 2 {
		outcome := claim.RecordOutcome(key, version, record, core.PlainResponse{Status: 201}, s.store.attempt())
		e.waiting = append(e.waiting, outcome)
	}
	return ""
}

func TestClaimInvariants(t *testing.T) {
	seen := 0
	checkInvariants(t, 20261204, func() system { return newClaims(&seen) })
	if seen < runs {
		t.Errorf("%d requests ran in %d runs: the commands do not reach the backend server", seen, runs)
	}
}
