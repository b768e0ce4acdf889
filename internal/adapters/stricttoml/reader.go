package stricttoml

import (
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Presence says whether a key must be in the file.
type Presence bool

// The values of Presence. If an optional key is absent, its target keeps the
// value it has, which is the default.
const (
	Optional Presence = false
	Required Presence = true
)

// Reader reads the keys of one table. The functions of this package that take a
// Reader store the value of a key in their target, or report a problem and leave
// the target unchanged.
type Reader struct {
	file    *File
	table   *table   // nil when the table is absent
	key     string   // dotted key of the table, empty for the root
	known   []string // keys read so far
	invalid bool     // the key of the table has a value of another type, or a required table is missing
	// absent holds the required keys that were not found.
	absent []absentKey
}

// absentKey is a required key that was not found.
type absentKey struct {
	name    string
	allowed string // values allowed
}

// Root returns a reader of the file's top-level table.
func (f *File) Root() *Reader { return &Reader{file: f, table: f.root} }

// Table returns a reader of a table, or nil when an optional table is absent.
func (r *Reader) Table(name string, presence Presence) *Reader {
	v := r.lookup(name, presence, "a table, ["+r.path(name)+"]")
	if v != nil {
		return r.tableReader(v, name)
	}
	if presence == Required {
		return &Reader{file: r.file, key: r.path(name), invalid: true}
	}
	return nil
}

// Section returns a reader of an optional table. If the table is absent, all its
// keys are: each keeps its default or is reported as missing.
func (r *Reader) Section(name string) *Reader {
	if section := r.Table(name, Optional); section != nil {
		return section
	}
	return &Reader{file: r.file, key: r.path(name)}
}

// Tables returns a reader for each table of an array of tables.
func (r *Reader) Tables(name string, presence Presence) []*Reader {
	v := r.lookup(name, presence, "an array of tables")
	if v == nil {
		return nil
	}
	if v.kind != unstable.ArrayTable && v.kind != unstable.Array {
		r.reportWrongValue(name, v, "an array of tables, [["+r.path(name)+"]]")
		return nil
	}
	var readers []*Reader
	for i, item := range v.items {
		readers = append(readers, r.tableReader(item, indexedKey(name, i)))
	}
	return readers
}

func (r *Reader) tableReader(v *value, name string) *Reader {
	if v.table == nil {
		r.reportWrongValue(name, v, "a table")
	}
	return &Reader{file: r.file, table: v.table, key: r.path(name), invalid: v.table == nil}
}

// Finish reports missing required keys and unknown keys. It must be called after
// all known keys have been read.
func (r *Reader) Finish() {
	for _, absent := range r.absent {
		r.reportAbsent(absent)
	}
	if r.table == nil {
		return
	}
	for _, name := range r.table.names {
		if slices.Contains(r.known, name) {
			continue
		}
		r.file.reportAt(r.table.values[name].line, r.path(name), "an unknown key", r.allowedKeys(name))
	}
}

// allowedKeys returns the known keys of the table as text, or only the one that
// resembles name.
func (r *Reader) allowedKeys(name string) string {
	for _, known := range r.known {
		if resembles(known, name) {
			return known
		}
	}
	return strings.Join(r.known, ", ")
}

// resembles reports whether two keys differ only in case, dashes, underscores or
// at most two adjacent characters.
func resembles(a, b string) bool {
	normalize := func(s string) string {
		return strings.ToLower(strings.NewReplacer("-", "", "_", "").Replace(s))
	}
	a, b = normalize(a), normalize(b)
	prefix := 0
	for prefix < min(len(a), len(b)) && a[prefix] == b[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < min(len(a), len(b))-prefix && a[len(a)-1-suffix] == b[len(b)-1-suffix] {
		suffix++
	}
	const maxDifference = 2
	longest := max(len(a), len(b))
	return longest > 2*maxDifference && longest-prefix-suffix <= maxDifference
}

// lookup marks a key as known and returns its value, or nil if it is absent. It
// records a missing required key, which Finish reports.
func (r *Reader) lookup(name string, presence Presence, allowed string) *value {
	r.known = append(r.known, name)
	if r.table != nil && r.table.values[name] != nil {
		return r.table.values[name]
	}
	if presence == Required && !r.invalid {
		r.absent = append(r.absent, absentKey{name, allowed})
	}
	return nil
}

// reportAbsent reports a missing required key, unless a misspelt key or a syntax
// error explains why it is missing.
func (r *Reader) reportAbsent(absent absentKey) {
	key := r.path(absent.name)
	r.file.problemKeys[key] = true
	if r.file.incomplete || r.isMisspelt(absent.name) {
		return
	}
	r.file.Report(key, "no value (the key is missing)", absent.allowed)
}

// isMisspelt reports whether the table has an unknown key that resembles name.
// Finish reports that key as unknown, so the same mistake must not be reported
// again as a missing key.
func (r *Reader) isMisspelt(name string) bool {
	if r.table == nil {
		return false
	}
	for _, present := range r.table.names {
		if !slices.Contains(r.known, present) && resembles(name, present) {
			return true
		}
	}
	return false
}

func (r *Reader) reportWrongValue(name string, v *value, allowed string) {
	r.file.reportAt(v.line, r.path(name), v.describe(), allowed)
}

func (r *Reader) path(name string) string {
	if r.key == "" {
		return name
	}
	return r.key + "." + name
}
