// Package invariants runs random commands over the decisions about leases,
// claims and delivery, with lost, late and repeated commits, and checks what
// must always hold. It also counts the calls of the table service.
package invariants

import (
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"

	"fescuespar/internal/core"
)

// store is a table service in memory. Versions grow over all rows.
type store struct {
	rows        map[core.RowKey]core.Row
	version     core.RowVersion
	late        []core.Commit // sent, reply lost, not taken yet
	attempts    int
	reads       int
	commits     int
	rowsWritten int
}

func newStore() *store { return &store{rows: make(map[core.RowKey]core.Row)} }

func (s *store) attempt() core.AttemptID {
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

// fate is what becomes of one commit.
type fate int

const (
	answered  fate = iota // effect, if any, and reply
	replyLost             // effect, if any, and no reply
	isLate                // no reply; may take effect later
	requestLost
	refused // surely no effect, and the sender knows
	fates   = iota
)

// send gives a commit its fate. ok is false when the outcome is unknown;
// refused is handled by the sender.
func (s *store) send(commit core.Commit, f fate) (result core.CommitResult, ok bool) {
	switch f {
	case answered:
		return s.commit(commit), true
	case replyLost:
		s.commit(commit)
	case isLate:
		s.late = append(s.late, commit)
	}
	return core.CommitResult{}, false
}

// arrive makes one late commit reach the table service and returns it.
func (s *store) arrive(which int) (core.Commit, core.CommitResult) {
	if len(s.late) == 0 {
		return core.Commit{}, core.CommitResult{}
	}
	at := which % len(s.late)
	commit := s.late[at]
	s.late = append(s.late[:at], s.late[at+1:]...)
	return commit, s.commit(commit)
}

// dice is one random choice: which operation, by whom, and how it goes.
type dice struct{ op, who, how int }

// system is one run. step returns what was violated, or "".
type system interface{ step(d dice) string }

const (
	runs        = 1000 // random runs of each property
	runCommands = 300  // commands in a run
)

// checkInvariants runs random commands from a fixed seed over new systems.
func checkInvariants(t *testing.T, seed int64, fresh func() system) {
	t.Helper()
	parameters := gopter.DefaultTestParametersWithSeed(seed)
	parameters.MinSuccessfulTests = runs
	parameters.MaxSize = runCommands
	properties := gopter.NewProperties(parameters)
	properties.Property(t.Name(), commands.Prop(&commands.ProtoCommands{
		NewSystemUnderTestFunc:  func(commands.State) commands.SystemUnderTest { return fresh() },
		InitialStateGen:         gen.Const(0),
		InitialPreConditionFunc: func(commands.State) bool { return true },
		GenCommandFunc: func(commands.State) gopter.Gen {
			return gen.UInt32().Map(func(v uint32) commands.Command { return command(v) })
		},
	}))
	properties.TestingRun(t)
}

func command(v uint32) commands.Command {
	d := dice{op: int(v & 0xff), who: int(v >> 8 & 0xff), how: int(v >> 16)}
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
