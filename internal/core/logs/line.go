package logs

import (
	"strconv"
	"time"
)

// Line is one line of a process's log.
type Line struct {
	Time    time.Time      `json:"time"`
	VM      string         `json:"vm"`
	Level   string         `json:"level"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"` // the inputs and the outcome of the decision
	Bytes   int            `json:"-"`      // of the line as it was written
}

// text returns a field as text, empty when the line does not have it.
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

// number returns a field as a number, zero when the line does not have it.
func (l *Line) number(name string) float64 {
	value, _ := l.Fields[name].(float64)
	return value
}
