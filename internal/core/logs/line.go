package logs

import (
	"strconv"
	"time"
)

// Line is one line of the log of a process.
type Line struct {
	Time    time.Time      `json:"time"`
	VM      string         `json:"vm"`
	Level   string         `json:"level"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"` // inputs and outcome of the logged decision
	Bytes   int            `json:"-"`      // length of the line as written
}

// text returns a field as text, or "" if the line does not have it.
func (l *Line) text(name string) string {
	switch value := l.Fields[name].(type) {
	case string:
		return value
	case float64:
		return strconv.FormatFloat(value, 'f', -1, 64)
	case bool:
		return strconv.FormatBool(value)
	default:
		return ""
	}
}

// number returns a numeric field, or zero if the line does not have it.
func (l *Line) number(name string) float64 {
	value, _ := l.Fields[name].(float64)
	return value
}
