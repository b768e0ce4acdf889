package stricttoml

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

const (
	maxSyntaxProblems = 20  // syntax errors reported for one file
	maxQuotedBytes    = 60  // bytes of a found value that a report shows
	maxNesting        = 100 // depth of arrays and inline tables
)

// File is one parsed file with the problems found in it so far.
type File struct {
	name       string
	root       *table
	problems   []Problem
	faulty     map[string]bool // keys that have a problem
	incomplete bool            // a part could not be parsed, so keys may be absent for that reason
}

// Parse parses a file. Syntax errors become problems of the returned file;
// parsing goes on at the line after each.
func Parse(name string, body []byte) *File {
	f := &File{name: name, root: newTable(1), faulty: map[string]bool{}}
	b := &builder{file: f, body: body, newlines: newlines(body), current: f.root}
	b.parse()
	return f
}

// builder turns the parser's expressions into a tree.
type builder struct {
	file     *File
	body     []byte
	newlines []int // offsets in body
	start    int   // offset in body of the parser's input
	parser   unstable.Parser
	current  *table
	prefix   []string // key of the current table
}

func newlines(body []byte) []int {
	var offsets []int
	for i, c := range body {
		if c == '\n' {
			offsets = append(offsets, i)
		}
	}
	return offsets
}

func (b *builder) parse() {
	for range maxSyntaxProblems {
		b.parser.Reset(b.body[b.start:])
		for b.parser.NextExpression() {
			b.expression(b.parser.Expression())
		}
		if b.parser.Error() == nil {
			return
		}
		if !b.skipFaultyLine(b.parser.Error()) {
			return
		}
	}
}

// skipFaultyLine reports a syntax error and moves the start to the line after
// it. It returns false at the end of the file.
func (b *builder) skipFaultyLine(err error) bool {
	offset := len(b.body)
	var syntax *unstable.ParserError
	if errors.As(err, &syntax) {
		offset = b.offset(syntax.Highlight)
	}
	b.file.report(b.line(offset), "", "a syntax error", "valid TOML ("+err.Error()+")")
	next := bytes.IndexByte(b.body[offset:], '\n')
	if next < 0 {
		return false
	}
	b.start = offset + next + 1
	return true
}

// offset returns the place in body of a slice of the parser's input.
func (b *builder) offset(part []byte) int {
	return min(cap(b.body)-cap(part), len(b.body))
}

func (b *builder) line(offset int) int {
	before, _ := slices.BinarySearch(b.newlines, offset)
	return 1 + before
}

func (b *builder) nodeLine(n *unstable.Node) int {
	return b.line(b.start + int(n.Raw.Offset))
}

func (b *builder) expression(n *unstable.Node) {
	switch n.Kind {
	case unstable.KeyValue:
		b.keyValue(b.current, b.prefix, n, 0)
	case unstable.Table, unstable.ArrayTable:
		b.header(n)
	}
}

// header opens the table that a [table] or [[table]] line names.
func (b *builder) header(n *unstable.Node) {
	names, line := b.key(n.Key())
	last := len(names) - 1
	parent := b.descend(b.file.root, names[:last], names, line)
	b.prefix = names
	b.current = newTable(line)
	if parent == nil {
		return
	}
	if n.Kind == unstable.ArrayTable {
		b.appendTable(parent, names, line)
		return
	}
	b.openTable(parent, names, line)
}

func (b *builder) openTable(parent *table, names []string, line int) {
	name := names[len(names)-1]
	existing := parent.values[name]
	if existing == nil {
		b.current.explicit = true
		parent.add(name, &value{kind: unstable.Table, line: line, table: b.current})
		return
	}
	if existing.kind != unstable.Table || existing.table.explicit {
		b.repeated(names, line, existing.line)
		return
	}
	existing.table.explicit = true
	b.current = existing.table
}

func (b *builder) appendTable(parent *table, names []string, line int) {
	name := names[len(names)-1]
	array := parent.values[name]
	if array == nil {
		array = &value{kind: unstable.ArrayTable, line: line}
		parent.add(name, array)
	}
	if array.kind != unstable.ArrayTable {
		b.repeated(names, line, array.line)
		return
	}
	b.current.explicit = true
	array.items = append(array.items, &value{kind: unstable.Table, line: line, table: b.current})
	b.prefix = append(names[:len(names)-1:len(names)-1], indexed(name, len(array.items)-1))
}

// descend walks from a table along names and adds absent tables. It returns nil
// after reporting a name that is no table.
func (b *builder) descend(from *table, names, key []string, line int) *table {
	for _, name := range names {
		v := from.values[name]
		switch {
		case v == nil:
			v = &value{kind: unstable.Table, line: line, table: newTable(line)}
			from.add(name, v)
		case v.kind == unstable.ArrayTable:
			v = v.items[len(v.items)-1]
		case v.kind != unstable.Table:
			b.repeated(key, line, v.line)
			return nil
		}
		from = v.table
	}
	return from
}

func (b *builder) keyValue(into *table, prefix []string, n *unstable.Node, depth int) {
	names, line := b.key(n.Key())
	last := len(names) - 1
	key := append(prefix[:len(prefix):len(prefix)], names...)
	parent := b.descend(into, names[:last], key, line)
	if parent == nil {
		return
	}
	if existing := parent.values[names[last]]; existing != nil {
		b.repeated(key, line, existing.line)
		return
	}
	parent.add(names[last], b.value(n.Value(), key, line, depth))
}

func (b *builder) value(n *unstable.Node, key []string, line, depth int) *value {
	v := &value{kind: n.Kind, text: string(n.Data), line: line}
	if depth > maxNesting {
		b.file.report(line, strings.Join(key, "."), "deep nesting", fmt.Sprintf("at most %d levels", maxNesting))
		return v
	}
	switch n.Kind {
	case unstable.Array:
		b.array(v, n, key, depth)
	case unstable.InlineTable:
		v.table = newTable(line)
		v.table.explicit = true
		for it := n.Children(); it.Next(); {
			b.keyValue(v.table, key, it.Node(), depth+1)
		}
	}
	return v
}

func (b *builder) array(v *value, n *unstable.Node, key []string, depth int) {
	last := len(key) - 1
	for it := n.Children(); it.Next(); {
		item := it.Node()
		line := v.line
		if item.Raw.Length > 0 {
			line = b.nodeLine(item)
		}
		itemKey := append(key[:last:last], indexed(key[last], len(v.items)))
		v.items = append(v.items, b.value(item, itemKey, line, depth+1))
	}
}

// key returns a key's parts and its line.
func (b *builder) key(it unstable.Iterator) ([]string, int) {
	var names []string
	line := 0
	for it.Next() {
		names = append(names, string(it.Node().Data))
		if line == 0 {
			line = b.nodeLine(it.Node())
		}
	}
	return names, line
}

func (b *builder) repeated(key []string, line, first int) {
	b.file.report(line, strings.Join(key, "."), "a second definition", "one (the first is on line "+strconv.Itoa(first)+")")
}

func indexed(name string, i int) string { return name + "[" + strconv.Itoa(i) + "]" }

func quote(text string) string {
	if len(text) > maxQuotedBytes {
		return strconv.Quote(text[:maxQuotedBytes]) + "..."
	}
	return strconv.Quote(text)
}
