// Package invariants tests the decisions about leases, claims and delivery with
// random commands and lost, delayed and repeated commits, and checks their
// invariants. It also counts the calls of the table service.
package invariants

import (
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"

	"fescuespar/internal/core"
)

// store is an in-memory table service. Row versions increase across all rows.
type store struct {
	rows        map[core.RowKey]core.Row
	version     core.RowVersion
	delayed     []core.Commit // sent, no reply, not processed yet
	attempts    int
	reads       int
	commits     int
	rowsWritten int
}

func newStore() *store { return &store{rows: make(map[core.RowKey]core.Row)} }

func (s *store) newAttempt() core.AttemptID {
	s.attempts++
	return core.AttemptID(fmt.Sprint("a", s.attempts))
}

func (s *store) read(keys ...core.RowKey) []core.Row {
	s.reads++
	rows := make([]core.Row, 0, len(keys))
	for _, key := range keys {
		row := s.rows[key]
		row.Key = key
		rows = append(rows, row)
	}
	return rows
}

func (s *store) commit(commit core.Commit) core.CommitResult {
	s.commits++
	var result core.CommitResult
	for _, condition := range commit.Conditions {
		if s.rows[condition.Key].Version != condition.Version {
			result.Failed = append(result.Failed, condition.Key)
		}
	}
	if len(result.Failed) > 0 {
		return result
	}
	s.version++
	for _, write := range commit.Writes {
		s.rowsWritten++
		if write.Record == nil {
			delete(s.rows, write.Key)
			continue
		}
		s.rows[write.Key] = core.Row{Key: write.Key, Version: s.version, Attempt: commit.Attempt, Record: write.Record}
	}
	return core.CommitResult{Applied: true, Version: s.version}
}

// sendOutcome is the simulated outcome of sending a commit.
type sendOutcome int

const (
	answered      sendOutcome = iota // processed, reply received
	replyLost                        // processed, reply lost
	commitDelayed                    // no reply; may be processed later
	requestLost
	refused      // not processed, and the sender knows it
	sendOutcomes = iota
)

// send processes a commit according to the outcome. ok is false if there is no reply;
// the caller handles refused.
func (s *store) send(commit core.Commit, outcome sendOutcome) (result core.CommitResult, ok bool) {
	switch outcome {
	case answered:
		return s.commit(commit), true
	case replyLost:
		s.commit(commit)
	case commitDelayed:
		s.delayed = append(s.delayed, commit)
	}
	return core.CommitResult{}, false
}

// deliverDelayed processes one of the delayed commits and returns it with its result.
func (s *store) deliverDelayed(which int) (core.Commit, core.CommitResult) {
	if len(s.delayed) == 0 {
		return core.Commit{}, core.CommitResult{}
	}
	at := which % len(s.delayed)
	commit := s.delayed[at]
	s.delayed = append(s.delayed[:at], s.delayed[at+1:]...)
	return commit, s.commit(commit)
}

// choice selects a random command: the operation, the process and the variant.
type choice struct{ op, actor, variant int }

// system is the simulated system of one run. step runs a command and returns the
// violated invariant, or "".
type system interface{ step(d choice) string }

const (
	runs        = 1000 // random runs per property
	runCommands = 300  // maximum commands per run
)

// checkInvariants runs random commands, generated from a fixed seed, on new systems.
func checkInvariants(t *testing.T, seed int64, newSystem func() system) {
	t.Helper()
	parameters := gopter.DefaultTestParametersWithSeed(seed)
	parameters.MinSuccessfulTests = runs
	parameters.MaxSize = runCommands
	properties := gopter.NewProperties(parameters)
	properties.Property(t.Name(), commands.Prop(&commands.ProtoCommands{
		NewSystemUnderTestFunc:  func(commands.State) commands.SystemUnderTest { return newSystem() },
		InitialStateGen:         gen.Const(0),
		InitialPreConditionFunc: func(commands.State) bool { return true },
		GenCommandFunc: func(commands.State) gopter.Gen {
			return gen.UInt32().Map(func(v uint32) commands.Command { return command(v) })
		},
	}))
	properties.TestingRun(t)
}

func command(v uint32) commands.Command {
	d := choice{op: int(v & 0xff), actor: int(v >> 8 & 0xff), variant: int(v >> 16)}
	return &commands.ProtoCommand{
		Name:    fmt.Sprint(d),
		RunFunc: func(sut commands.SystemUnderTest) commands.Result { return sut.(system).step(d) },
		PostConditionFunc: func(_ commands.State, result commands.Result) *gopter.PropResult {
			if result != "" {
				return &gopter.PropResult{Status: gopter.PropFalse, Labels: []string{result.(string)}}
			}
			return &gopter.PropResult{Status: gopter.PropTrue}
		},
	}
}
