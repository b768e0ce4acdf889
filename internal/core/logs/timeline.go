package logs

import (
	"slices"
	"strings"
	"time"
)

// TimelineLine is a line of a timeline. Context marks a line that does not
// mention the subject of the timeline but reports a state change that may
// explain another line.
type TimelineLine struct {
	Line
	Context bool `json:"context,omitempty"`
}

// Timeline is the history of one subject in the logs, in chronological order.
type Timeline struct {
	ID      string         `json:"id"`
	Lines   []TimelineLine `json:"lines"`
	Read    int            `json:"read"`    // number of lines read
	Damaged int            `json:"damaged"` // lines that are not structured log lines
}

// TimelineBuilder builds a Timeline from log lines.
type TimelineBuilder struct {
	timeline      Timeline
	field         string // field that must have the value; empty for any field
	value         string
	contextWindow time.Duration
	stateChanges  []Line
}

// NewTimelineBuilder returns a builder for the lines in which any field equals
// the id, or, for an id of the form field=value, the given field equals the
// value. State changes that the same VMs logged at most contextWindow before
// are added; zero adds none.
func NewTimelineBuilder(id string, contextWindow time.Duration) *TimelineBuilder {
	b := &TimelineBuilder{timeline: Timeline{ID: id}, contextWindow: contextWindow}
	if field, value, ok := strings.Cut(id, "="); ok {
		b.field, b.value = field, value
	}
	return b
}

// Add adds a line to the timeline if it belongs to it.
func (b *TimelineBuilder) Add(line Line) {
	b.timeline.Read++
	switch {
	case b.matches(&line):
		b.timeline.Lines = append(b.timeline.Lines, TimelineLine{Line: line})
	case b.contextWindow > 0 && stateChangeMessages[line.Message]:
		b.stateChanges = append(b.stateChanges, line)
	}
}

// AddDamaged counts a line that is not a structured log line.
func (b *TimelineBuilder) AddDamaged() {
	b.timeline.Read++
	b.timeline.Damaged++
}

// matches reports whether a line mentions the subject of the timeline.
func (b *TimelineBuilder) matches(line *Line) bool {
	if b.field != "" && line.text(b.field) == b.value {
		return true
	}
	for _, value := range line.Fields {
		if text, ok := value.(string); ok && text == b.timeline.ID {
			return true
		}
	}
	return false
}

// Timeline returns the timeline in chronological order. VM clocks differ
// slightly, but lines of the same VM stay in order.
func (b *TimelineBuilder) Timeline() Timeline {
	matching := len(b.timeline.Lines)
	lines := slices.Clone(b.timeline.Lines)
	for i := range b.stateChanges {
		if isContextOf(&b.stateChanges[i], b.timeline.Lines[:matching], b.contextWindow) {
			lines = append(lines, TimelineLine{Line: b.stateChanges[i], Context: true})
		}
	}
	slices.SortStableFunc(lines, func(a, b TimelineLine) int { return a.Time.Compare(b.Time) })
	timeline := b.timeline
	timeline.Lines = lines
	return timeline
}

// isContextOf reports whether a state change may explain one of the lines: the
// same VM logged it at most window earlier, and it is not about another backend
// server, service or model.
func isContextOf(change *Line, lines []TimelineLine, window time.Duration) bool {
	return slices.ContainsFunc(lines, func(line TimelineLine) bool {
		age := line.Time.Sub(change.Time)
		return line.VM == change.VM && age >= 0 && age <= window && haveSameSubject(change, &line.Line)
	})
}

// haveSameSubject reports whether two lines do not name different servers,
// services or models.
func haveSameSubject(a, b *Line) bool {
	for _, field := range []string{fieldServer, fieldService, fieldModel} {
		if x, y := a.text(field), b.text(field); x != "" && y != "" && x != y {
			return false
		}
	}
	return true
}
