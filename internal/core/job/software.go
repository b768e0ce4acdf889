package job

import (
	"time"

	"fescuespar/internal/core"
)

// eventTime is the time in which an engine generates an event, by the users' sheets.
const eventTime = 20 * time.Millisecond

// MayStartAnew reports whether a run that found no place at a server of the software that
// generated the item's text may discard the text and start anew at another one: at once if
// no such server is left, else when it has waited for as long as generating the text again
// takes.
//
// The load is a release that leaves few servers of the old software, which all texts begun
// there need, beside many idle new ones.
func (s *RunStart) MayStartAnew(isServed bool) bool {
	return s.EventsReceived > 0 && (!isServed || s.Waited >= time.Duration(s.EventsReceived)*eventTime)
}

// Anew returns the run without the text received so far.
func (s RunStart) Anew() RunStart {
	s.EventsReceived, s.Software = 0, ""
	s.OldestVersion, s.ExactVersion = s.oldestAnew, false
	return s
}

// DiscardText discards the text of an item whose run starts anew.
func (s *Scheduler) DiscardText(run RunID) {
	if _, state := s.findRun(run); state != nil {
		state.discardText()
	}
}

// Move is what an engine needs to have to continue a run's text.
type Move struct {
	Model    core.ModelName
	Oldest   core.WeightVersion
	Software core.SoftwareVersion
}
