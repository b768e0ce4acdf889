package stricttoml

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Name returns the file's name as given to Parse.
func (f *File) Name() string { return f.name }

// Problems returns the problems found so far, ordered by line.
func (f *File) Problems() []Problem {
	Sort(f.problems)
	return f.problems
}

// Report adds a problem about a dotted key, on the line of the key or of the
// innermost table around it that is present. An empty key stands for the file
// as a whole.
func (f *File) Report(key, found, allowed string) {
	f.report(f.Line(key), key, found, allowed)
}

// Unreadable reports whether a problem was found with the key, or with a table
// or array around it, or whether the file as a whole could not be parsed, so
// that the key may be absent only for that reason.
func (f *File) Unreadable(key string) bool {
	if f.incomplete {
		return true
	}
	for faulty := range f.faulty {
		if faulty == key || encloses(faulty, key) {
			return true
		}
	}
	return false
}

// encloses reports whether an outer key stands for a table or array that holds
// the inner one.
func encloses(outer, inner string) bool {
	rest, found := strings.CutPrefix(inner, outer)
	return found && rest != "" && (rest[0] == '.' || rest[0] == '[')
}

func (f *File) report(line int, key, found, allowed string) {
	f.faulty[key] = true
	if key == "" {
		f.incomplete = true
	}
	f.problems = append(f.problems, Problem{f.name, line, key, found, allowed})
}

// Line returns the line of a dotted key such as "once[1].method", or of the
// innermost table around it that is present.
func (f *File) Line(key string) int {
	current := &value{kind: unstable.Table, line: 1, table: f.root}
	for part := range strings.SplitSeq(key, ".") {
		next := current.child(part)
		if next == nil {
			return current.line
		}
		current = next
	}
	return current.line
}

// child returns the value that one part of a dotted key names, or nil.
func (v *value) child(part string) *value {
	name, index := part, -1
	if open := strings.IndexByte(part, '['); open >= 0 {
		name = part[:open]
		if _, err := fmt.Sscanf(part[open:], "[%d]", &index); err != nil {
			return nil
		}
	}
	if v.table == nil {
		return nil
	}
	found := v.table.values[name]
	if found == nil || index < 0 {
		return found
	}
	if index >= len(found.items) {
		return nil
	}
	return found.items[index]
}
