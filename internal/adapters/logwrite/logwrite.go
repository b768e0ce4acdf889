// Package logwrite writes the log of a process without blocking on a slow output.
package logwrite

import (
	"io"
	stdlog "log"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"fescuespar/internal/core/logs"
)

// TimeFormat is the format of a line's time, by which the lines of several VMs are
// ordered.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

// writeInterval is how often buffered lines are written. The ring buffer is polled
// because it signals its reader without holding a lock: the reader can miss the
// signal, so that the last line would not be written until the next one comes.
const writeInterval = 50 * time.Millisecond

// New returns a logger for lines of the given level and above that buffers up to a
// number of lines while the output is slow. When the buffer is full, the oldest
// lines are dropped, so that the last line of a request is never dropped before
// its first; a separate log line gives the number of dropped lines. Closing output
// writes the lines that are still buffered.
func New(out io.Writer, vm string, level zerolog.Level, lines int) (log zerolog.Logger, output io.Closer) {
	zerolog.TimeFieldFormat = TimeFormat
	direct := newLogger(out, vm, level)
	writer := diode.NewWriter(out, lines, writeInterval, func(missed int) {
		direct.Warn().Int("dropped", missed).Msg(logs.LinesDropped)
	})
	return newLogger(writer, vm, level), writer
}

// RedirectStandard redirects the standard logger, to which libraries such as
// quic-go write warnings, to log.
func RedirectStandard(log zerolog.Logger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(log.With().Str(zerolog.LevelFieldName, zerolog.LevelWarnValue).Logger())
}

func newLogger(out io.Writer, vm string, level zerolog.Level) zerolog.Logger {
	return zerolog.New(out).Level(level).With().Timestamp().Str("vm", vm).Logger()
}
