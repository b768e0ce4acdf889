package stricttoml

import (
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Presence says whether a key must be in the file.
type Presence bool

// The values of Presence. The target of an optional key that is absent keeps
// its content, which is the default.
const (
	Optional Presence = false
	Required Presence = true
)

// Reader reads the keys of one table. Its methods store the value of a key in
// their target, or report a problem and leave the target alone.
type Reader struct {
	file   *File
	table  *table // nil when the table is absent
	key    string // dotted key of the table, empty for the root
	known  []string
	broken bool // the table's place holds something else, which is reported
	// absent holds the required keys that were not found.
	absent []absentKey
}

// absentKey is a required key that was not found and what it may hold.
type absentKey struct {
	name    string
	allowed string
}

// Root returns a reader of the file's top-level table.
func (f *File) Root() *Reader { return &Reader{file: f, table: f.root} }

// Table returns a reader of a table. It is nil when an optional table is absent.
func (r *Reader) Table(name string, presence Presence) *Reader {
	v := r.lookup(name, presence, "a table, ["+r.path(name)+"]")
	if v != nil {
		return r.inside(v, name)
	}
	if presence == Required {
		return &Reader{file: r.file, key: r.path(name), broken: true}
	}
	return nil
}

// Section returns a reader of an optional table. Keys of an absent table are
// absent, so that each keeps its default or is reported as missing.
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
		r.wrong(name, v, "an array of tables, [["+r.path(name)+"]]")
		return nil
	}
	var readers []*Reader
	for i, item := range v.items {
		readers = append(readers, r.inside(item, indexed(name, i)))
	}
	return readers
}

func (r *Reader) inside(v *value, name string) *Reader {
	if v.table == nil {
		r.wrong(name, v, "a table")
	}
	return &Reader{file: r.file, table: v.table, key: r.path(name), broken: v.table == nil}
}

// Finish reports the keys that are missing and those that no method asked for.
// It is called once all keys were asked for.
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
		r.file.report(r.table.values[name].line, r.path(name), "an unknown key", r.allowedKeys(name))
	}
}

// allowedKeys lists the keys of the table, or only the one that name resembles.
func (r *Reader) allowedKeys(name string) string {
	for _, known := range r.known {
		if resembles(known, name) {
			return known
		}
	}
	return strings.Join(r.known, ", ")
}

// resembles reports whether two keys differ only in case, dashes, underscores
// or by at most two letters at one place.
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

// lookup returns the value of a key, or nil. It notes a missing required key.
func (r *Reader) lookup(name string, presence Presence, allowed string) *value {
	r.known = append(r.known, name)
	if r.table != nil && r.table.values[name] != nil {
		return r.table.values[name]
	}
	if presence == Required && !r.broken {
		r.absent = append(r.absent, absentKey{name, allowed})
	}
	return nil
}

// reportAbsent reports a missing key, unless a misspelt one or a syntax error
// explains why it is missing.
func (r *Reader) reportAbsent(absent absentKey) {
	key := r.path(absent.name)
	r.file.faulty[key] = true
	if r.file.incomplete || r.misspelt(absent.name) {
		return
	}
	r.file.Report(key, "nothing (the key is missing)", absent.allowed)
}

// misspelt reports whether the table holds a key that resembles name; Finish
// reports it as unknown, so that one mistake is not reported twice.
func (r *Reader) misspelt(name string) bool {
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

func (r *Reader) wrong(name string, v *value, allowed string) {
	r.file.report(v.line, r.path(name), v.describe(), allowed)
}

func (r *Reader) path(name string) string {
	if r.key == "" {
		return name
	}
	return r.key + "." + name
}
