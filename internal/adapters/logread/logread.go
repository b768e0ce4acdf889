// Package logread reads the structured logs of several processes and tells the
// story of one thing: a request, job, item, backend server, lease or version.
package logread

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLineBytes bounds one line.
const maxLineBytes = 4 << 20

// Line is one line of a log.
type Line struct {
	Time    time.Time      `json:"time"`
	VM      string         `json:"vm"`
	Level   string         `json:"level"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"` // the inputs and the outcome of the decision
}

// Story is what logs tell of one thing, in the order of time.
type Story struct {
	ID      string `json:"id"`
	Lines   []Line `json:"lines"`
	Read    int    `json:"read"`    // lines read
	Damaged int    `json:"damaged"` // lines that are no structured log
}

// Reader collects a story.
type Reader struct {
	story Story
	first func(line Line) bool // lines that belong to the story
}

// New returns a reader for the lines that name an id in any field.
func New(id string) *Reader {
	return &Reader{story: Story{ID: id}, first: func(line Line) bool { return names(line, id) }}
}

// names reports whether a field holds the id.
func names(line Line, id string) bool {
	for _, value := range line.Fields {
		if text, ok := value.(string); ok && text == id {
			return true
		}
	}
	return false
}

// Read reads one log. A line may have anything before its first brace, as the
// collectors of logs put there.
func (r *Reader) Read(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		r.story.Read++
		line, ok := parse(scanner.Text())
		if !ok {
			r.story.Damaged++
			continue
		}
		if r.first(line) {
			r.story.Lines = append(r.story.Lines, line)
		}
	}
	return scanner.Err()
}

func parse(text string) (Line, bool) {
	at := strings.IndexByte(text, '{')
	if at < 0 {
		return Line{}, false
	}
	fields := make(map[string]any)
	if err := json.Unmarshal([]byte(text[at:]), &fields); err != nil {
		return Line{}, false
	}
	line := Line{Fields: fields}
	line.VM, _ = fields["vm"].(string)
	line.Level, _ = fields["level"].(string)
	line.Message, _ = fields["message"].(string)
	written, _ := fields["time"].(string)
	var err error
	if line.Time, err = time.Parse(time.RFC3339Nano, written); err != nil || line.Message == "" {
		return Line{}, false
	}
	for _, name := range []string{"vm", "level", "message", "time"} {
		delete(fields, name)
	}
	return line, true
}

// Story returns what was read, in the order of time. Clocks of VMs differ by a
// little; lines of one VM keep their order.
func (r *Reader) Story() Story {
	slices.SortStableFunc(r.story.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return r.story
}

// Write writes a story as text.
func (s *Story) Write(w io.Writer) {
	for _, line := range s.Lines {
		var fields []string
		for name, value := range line.Fields {
			fields = append(fields, fmt.Sprintf("%s=%v", name, value))
		}
		slices.Sort(fields)
		fmt.Fprintf(w, "%s  %-20s  %-5s  %s  %s\n", line.Time.Format("15:04:05.000"), line.VM, line.Level, line.Message, strings.Join(fields, " "))
	}
	fmt.Fprintf(w, "%d of %d lines name %s; %d lines are damaged\n", len(s.Lines), s.Read, s.ID, s.Damaged)
}
