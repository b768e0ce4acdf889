package stricttoml

import "github.com/pelletier/go-toml/v2/unstable"

// value is a node of a parsed file: a scalar, an array or a table.
type value struct {
	kind  unstable.Kind
	text  string // decoded text of a scalar
	line  int
	items []*value // of an array
	table *table   // of a table
}

// describe returns the type and text of a value for a Problem.
func (v *value) describe() string {
	switch v.kind {
	case unstable.String:
		return "string " + quoteTruncated(v.text)
	case unstable.Integer:
		return "integer " + v.text
	case unstable.Float:
		return "float " + v.text
	case unstable.Bool:
		return "boolean " + v.text
	case unstable.Array:
		return "an array"
	case unstable.ArrayTable:
		return "an array of tables"
	case unstable.Table, unstable.InlineTable:
		return "a table"
	default:
		return "date or time " + v.text
	}
}

// table is a TOML table.
type table struct {
	line     int
	explicit bool     // defined by its own header or as an inline table; cannot be opened again
	names    []string // keys in the order of the file
	values   map[string]*value
}

func newTable(line int) *table {
	return &table{line: line, values: map[string]*value{}}
}

func (t *table) add(name string, v *value) {
	t.names = append(t.names, name)
	t.values[name] = v
}
