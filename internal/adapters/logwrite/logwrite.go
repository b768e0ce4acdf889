// Package logwrite writes a process's log without ever waiting for the output.
package logwrite

import (
	"io"
	stdlog "log"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"fescuespar/internal/core/logs"
)

// TimeFormat is that of a line's time: lines of several VMs are put in order by it.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

// writeEvery is how often waiting lines are written. The ring's own signal is
// given without its lock, so that a last line could wait for the next one.
const writeEvery = 50 * time.Millisecond

// New returns a logger for lines of a level and above that keeps up to a number of lines for an output that is
// slow. Beyond it the oldest lines that wait are dropped, so that of a request's
// waiting lines the last is never lost before the first; a line of its own
// counts the dropped ones.
// Close writes what is left.
func New(out io.Writer, vm string, level zerolog.Level, lines int) (log zerolog.Logger, output io.Closer) {
	zerolog.TimeFieldFormat = TimeFormat
	direct := logger(out, vm, level)
	writer := diode.NewWriter(out, lines, writeEvery, func(missed int) {
		direct.Warn().Int("dropped", missed).Msg(logs.LinesDropped)
	})
	return logger(writer, vm, level), writer
}

// Standard sends what libraries write to the standard logger, such as warnings
// of quic-go, to a process's log.
func Standard(log zerolog.Logger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(log.With().Str(zerolog.LevelFieldName, zerolog.LevelWarnValue).Logger())
}

func logger(out io.Writer, vm string, level zerolog.Level) zerolog.Logger {
	return zerolog.New(out).Level(level).With().Timestamp().Str("vm", vm).Logger()
}
