// Package stricttoml reads TOML files strictly. A Reader is used to read all known
// keys of a table; every unknown, missing or repeated key and every value of a
// wrong type is collected as a Problem with its line, so that one run reports all
// mistakes in a file.
package stricttoml

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one mistake in a file.
type Problem struct {
	File    string
	Line    int    // 1 for the first line
	Key     string // dotted key, empty if the mistake is not about one key
	Found   string // value or syntax found
	Allowed string // values allowed
}

// String returns the problem as one line in the format of compiler errors.
func (p Problem) String() string {
	key := ""
	if p.Key != "" {
		key = p.Key + ": "
	}
	return fmt.Sprintf("%s:%d: %sfound %s; allowed: %s", p.File, p.Line, key, p.Found, p.Allowed)
}

// Sort orders problems by file, line and key.
func Sort(problems []Problem) {
	slices.SortStableFunc(problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Key, b.Key))
	})
}

// Join returns the problems as text, one per line.
func Join(problems []Problem) string {
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}
