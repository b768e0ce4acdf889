package stricttoml

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Name returns the file's name as given to Parse.
func (f *File) Name() string { return f.name }

// Problems returns the problems reported so far, ordered by line.
func (f *File) Problems() []Problem {
	Sort(f.problems)
	return f.problems
}

// Report adds a problem about a dotted key, on the line of the key or of the
// innermost enclosing table that is present. An empty key means the whole file.
func (f *File) Report(key, found, allowed string) {
	f.reportAt(f.Line(key), key, found, allowed)
}

// Unreadable reports whether the key has no usable value because of a reported
// problem: with the key itself, with an enclosing table or array, or with the
// syntax of the file.
func (f *File) Unreadable(key string) bool {
	if f.incomplete {
		return true
	}
	for problemKey := range f.problemKeys {
		if problemKey == key || encloses(problemKey, key) {
			return true
		}
	}
	return false
}

// encloses reports whether the outer key is a table or array that contains the
// inner key.
func encloses(outer, inner string) bool {
	rest, found := strings.CutPrefix(inner, outer)
	return found && rest != "" && (rest[0] == '.' || rest[0] == '[')
}

// reportAt adds a problem about a dotted key on the given line.
func (f *File) reportAt(line int, key, found, allowed string) {
	f.problemKeys[key] = true
	if key == "" {
		f.incomplete = true
	}
	f.problems = append(f.problems, Problem{f.name, line, key, found, allowed})
}

// Line returns the line of a dotted key such as "once[1].method", or of the
// innermost enclosing table that is present.
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

// child returns the value for one part of a dotted key, or nil.
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
