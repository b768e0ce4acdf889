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
	maxQuotedBytes    = 60  // bytes of a found value that a problem shows
	maxNesting        = 100 // depth of arrays and inline tables
)

// File is one parsed file and the problems reported for it so far.
type File struct {
	name        string
	root        *table
	problems    []Problem
	problemKeys map[string]bool // keys with a problem
	incomplete  bool            // part of the file could not be parsed, so keys may be missing because of it
}

// Parse parses a file. Syntax errors are reported as problems of the returned
// File; parsing continues at the line after each.
func Parse(name string, body []byte) *File {
	f := &File{name: name, root: newTable(1), problemKeys: map[string]bool{}}
	b := &builder{file: f, body: body, newlines: newlineOffsets(body), current: f.root}
	b.parse()
	return f
}

// builder builds the tree of a File from the parser's expressions.
type builder struct {
	file     *File
	body     []byte
	newlines []int // offsets in body
	start    int   // offset in body of the parser's input
	parser   unstable.Parser
	current  *table
	prefix   []string // key of the current table
}

func newlineOffsets(body []byte) []int {
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
			b.handleExpression(b.parser.Expression())
		}
		if b.parser.Error() == nil {
			return
		}
		if !b.skipFaultyLine(b.parser.Error()) {
			return
		}
	}
}

// skipFaultyLine reports a syntax error and moves the parser's start to the next
// line. It returns false at the end of the file.
func (b *builder) skipFaultyLine(err error) bool {
	offset := len(b.body)
	var syntax *unstable.ParserError
	if errors.As(err, &syntax) {
		offset = b.offset(syntax.Highlight)
	}
	b.file.reportAt(b.line(offset), "", "a syntax error", "valid TOML ("+err.Error()+")")
	next := bytes.IndexByte(b.body[offset:], '\n')
	if next < 0 {
		return false
	}
	b.start = offset + next + 1
	return true
}

// offset returns the offset in body of a slice of the parser's input.
func (b *builder) offset(part []byte) int {
	return min(cap(b.body)-cap(part), len(b.body))
}

func (b *builder) line(offset int) int {
	newlinesBefore, _ := slices.BinarySearch(b.newlines, offset)
	return 1 + newlinesBefore
}

func (b *builder) nodeLine(n *unstable.Node) int {
	return b.line(b.start + int(n.Raw.Offset))
}

func (b *builder) handleExpression(n *unstable.Node) {
	switch n.Kind {
	case unstable.KeyValue:
		b.addKeyValue(b.current, b.prefix, n, 0)
	case unstable.Table, unstable.ArrayTable:
		b.openHeader(n)
	}
}

// openHeader makes the table of a [table] or [[table]] line the current table.
func (b *builder) openHeader(n *unstable.Node) {
	names, line := b.parseKey(n.Key())
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
		b.reportRepeated(names, line, existing.line)
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
		b.reportRepeated(names, line, array.line)
		return
	}
	b.current.explicit = true
	array.items = append(array.items, &value{kind: unstable.Table, line: line, table: b.current})
	b.prefix = append(names[:len(names)-1:len(names)-1], indexedKey(name, len(array.items)-1))
}

// descend follows names from a table, adding missing tables, and returns the last
// one. It reports a name that is not a table and returns nil.
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
			b.reportRepeated(key, line, v.line)
			return nil
		}
		from = v.table
	}
	return from
}

func (b *builder) addKeyValue(target *table, prefix []string, n *unstable.Node, depth int) {
	names, line := b.parseKey(n.Key())
	last := len(names) - 1
	key := append(prefix[:len(prefix):len(prefix)], names...)
	parent := b.descend(target, names[:last], key, line)
	if parent == nil {
		return
	}
	if existing := parent.values[names[last]]; existing != nil {
		b.reportRepeated(key, line, existing.line)
		return
	}
	parent.add(names[last], b.buildValue(n.Value(), key, line, depth))
}

func (b *builder) buildValue(n *unstable.Node, key []string, line, depth int) *value {
	v := &value{kind: n.Kind, text: string(n.Data), line: line}
	if depth > maxNesting {
		b.file.reportAt(line, strings.Join(key, "."), "deep nesting", fmt.Sprintf("at most %d levels", maxNesting))
		return v
	}
	switch n.Kind {
	case unstable.Array:
		b.buildArray(v, n, key, depth)
	case unstable.InlineTable:
		v.table = newTable(line)
		v.table.explicit = true
		for it := n.Children(); it.Next(); {
			b.addKeyValue(v.table, key, it.Node(), depth+1)
		}
	}
	return v
}

func (b *builder) buildArray(v *value, n *unstable.Node, key []string, depth int) {
	last := len(key) - 1
	for it := n.Children(); it.Next(); {
		item := it.Node()
		line := v.line
		if item.Raw.Length > 0 {
			line = b.nodeLine(item)
		}
		itemKey := append(key[:last:last], indexedKey(key[last], len(v.items)))
		v.items = append(v.items, b.buildValue(item, itemKey, line, depth+1))
	}
}

// parseKey returns the parts of a key and its line.
func (b *builder) parseKey(it unstable.Iterator) ([]string, int) {
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

func (b *builder) reportRepeated(key []string, line, firstLine int) {
	b.file.reportAt(line, strings.Join(key, "."), "a second definition", "one (the first is on line "+strconv.Itoa(firstLine)+")")
}

func indexedKey(name string, i int) string { return name + "[" + strconv.Itoa(i) + "]" }

func quoteTruncated(text string) string {
	if len(text) > maxQuotedBytes {
		return strconv.Quote(text[:maxQuotedBytes]) + "..."
	}
	return strconv.Quote(text)
}
