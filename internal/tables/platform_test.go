package tables

import (
	"testing"
	"time"

	"fescuespar/internal/core"
)

// TestOutageBeginsWithFirstFailedCall has a call that starts before a fault and fails
// because of it: the outage begins with the call, but not before the newest answer.
func TestOutageBeginsWithFirstFailedCall(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	cases := []struct {
		name                    string
		answered, started, want time.Time
	}{
		{"started after the answer", at(10), at(20), at(20)},
		{"started before the answer", at(10), at(5), at(10)},
	}
	for _, c := range cases {
		table := NewPlatform()
		table.RecordAnswer(core.PlatformTables, c.answered)
		table.RecordFailure(core.PlatformTables, c.started, at(30))
		table.RecordFailure(core.PlatformTables, at(40), at(50))
		outages := table.Outages()
		if len(outages) != 1 || !outages[0].Since.Equal(c.want) || !outages[0].Seen.Equal(at(50)) {
			t.Errorf("%s: outages %+v, want one since %v", c.name, outages, c.want)
		}
	}
}
