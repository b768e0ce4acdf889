// Package logread reads the structured logs of processes.
package logread

import (
	"bufio"
	"encoding/json"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"fescuespar/internal/core/logs"
	"fescuespar/internal/errkind"
)

// maxLineBytes bounds one line.
const maxLineBytes = 4 << 20

// Sink takes the lines of logs.
type Sink interface {
	Add(line logs.Line)
	AddDamaged() // a line that is no structured log
}

// Read reads one log. A line may have anything before its first brace, as the
// collectors of logs put there. Errors: BadRequest for a log that ends early or
// has a line of over 4 MiB.
func Read(log io.Reader, sink Sink) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		if line, ok := parse(scanner.Text()); ok {
			sink.Add(line)
		} else {
			sink.AddDamaged()
		}
	}
	return errkind.Wrap(errkind.BadRequest, scanner.Err(), "read the log")
}

func parse(text string) (logs.Line, bool) {
	at := strings.IndexByte(text, '{')
	if at < 0 {
		return logs.Line{}, false
	}
	fields := make(map[string]any)
	if err := json.Unmarshal([]byte(text[at:]), &fields); err != nil {
		return logs.Line{}, false
	}
	line := logs.Line{Fields: fields, Bytes: len(text) - at + 1}
	line.VM, _ = fields["vm"].(string)
	line.Level, _ = fields["level"].(string)
	line.Message, _ = fields["message"].(string)
	written, _ := fields["time"].(string)
	var err error
	if line.Time, err = time.Parse(time.RFC3339Nano, written); err != nil || line.Message == "" {
		return logs.Line{}, false
	}
	for _, name := range []string{"vm", "level", "message", "time"} {
		delete(fields, name)
	}
	return line, true
}

// Files returns the regular files below a directory, sorted, with their bytes
// in all. Errors: BadRequest for a directory that cannot be read.
func Files(directory string) (names []string, bytes int64, err error) {
	err = filepath.WalkDir(directory, func(name string, entry fs.DirEntry, err error) error {
		if err != nil || !entry.Type().IsRegular() {
			return err
		}
		info, err := entry.Info()
		if err != nil {
			return err
		}
		names, bytes = append(names, name), bytes+info.Size()
		return nil
	})
	slices.Sort(names)
	return names, bytes, errkind.Wrap(errkind.BadRequest, err, "list the logs")
}

// Size returns the bytes of files in all; of - and of what cannot be read, none.
func Size(names []string) (bytes int64) {
	for _, name := range names {
		if info, err := os.Stat(name); err == nil {
			bytes += info.Size()
		}
	}
	return bytes
}

// ReadFile reads a file, or standard input for the name -. What is read is
// written to progress, too. Errors: BadRequest.
func ReadFile(name string, sink Sink, progress io.Writer) error {
	if name == "-" {
		return Read(os.Stdin, sink)
	}
	file, err := os.Open(name)
	if err != nil {
		return errkind.Wrap(errkind.BadRequest, err, "open the log")
	}
	defer file.Close()
	return Read(io.TeeReader(file, progress), sink)
}
