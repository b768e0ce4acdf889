package logs

import (
	"slices"
	"strings"
	"time"
)

// Told is a line of a story. Context marks one that does not name the story's
// subject but tells what its VM believed at the time.
type Told struct {
	Line
	Context bool `json:"context,omitempty"`
}

// Story is what logs tell of one thing, in the order of time.
type Story struct {
	ID      string `json:"id"`
	Lines   []Told `json:"lines"`
	Read    int    `json:"read"`    // lines read
	Damaged int    `json:"damaged"` // lines that are no structured log
}

// StoryBuilder collects a story.
type StoryBuilder struct {
	story   Story
	field   string // a field that must have the value, empty for any
	value   string
	around  time.Duration
	beliefs []Line
}

// NewStory returns a builder for the lines in which a field has the id, or, for
// an id of the form field=value, that field has that value. Lines about what
// the same VMs believed up to the time around are added; zero adds none.
func NewStory(id string, around time.Duration) *StoryBuilder {
	b := &StoryBuilder{story: Story{ID: id}, around: around}
	if field, value, ok := strings.Cut(id, "="); ok {
		b.field, b.value = field, value
	}
	return b
}

// Add takes in a line.
func (b *StoryBuilder) Add(line Line) {
	b.story.Read++
	switch {
	case b.names(&line):
		b.story.Lines = append(b.story.Lines, Told{Line: line})
	case b.around > 0 && beliefs[line.Message]:
		b.beliefs = append(b.beliefs, line)
	}
}

// AddDamaged counts a line that is no structured log.
func (b *StoryBuilder) AddDamaged() {
	b.story.Read++
	b.story.Damaged++
}

// names reports whether a line is about the story's subject.
func (b *StoryBuilder) names(line *Line) bool {
	if b.field != "" && line.text(b.field) == b.value {
		return true
	}
	for _, value := range line.Fields {
		if text, ok := value.(string); ok && text == b.story.ID {
			return true
		}
	}
	return false
}

// Story returns what was read, in the order of time. Clocks of VMs differ by a
// little; lines of one VM keep their order.
func (b *StoryBuilder) Story() Story {
	named := len(b.story.Lines)
	lines := slices.Clone(b.story.Lines)
	for i := range b.beliefs {
		if touches(&b.beliefs[i], b.story.Lines[:named], b.around) {
			lines = append(lines, Told{Line: b.beliefs[i], Context: true})
		}
	}
	slices.SortStableFunc(lines, func(a, b Told) int { return a.Time.Compare(b.Time) })
	story := b.story
	story.Lines = lines
	return story
}

// touches reports whether a belief may have decided one of the lines: the same
// VM held it not long before, and it is not about another backend server,
// service or model.
func touches(belief *Line, lines []Told, around time.Duration) bool {
	return slices.ContainsFunc(lines, func(line Told) bool {
		age := line.Time.Sub(belief.Time)
		return line.VM == belief.VM && age >= 0 && age <= around && agree(belief, &line.Line)
	})
}

// agree reports whether two lines name no different subjects.
func agree(a, b *Line) bool {
	for _, field := range []string{fieldServer, fieldService, fieldModel} {
		if x, y := a.text(field), b.text(field); x != "" && y != "" && x != y {
			return false
		}
	}
	return true
}
