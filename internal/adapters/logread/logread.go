// Package logread parses the structured logs of processes.
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

// maxLineBytes is the longest line that can be read.
const maxLineBytes = 4 << 20

// Sink receives the lines of logs.
type Sink interface {
	Add(line logs.Line)
	AddDamaged() // called for a line that is not a structured log line
}

// Read passes the lines of one log to sink. It ignores any text before the first
// brace of a line, such as prefixes added by log collectors. Errors: BadRequest
// when reading fails or a line is longer than 4 MiB.
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
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return logs.Line{}, false
	}
	fields := make(map[string]any)
	if err := json.Unmarshal([]byte(text[start:]), &fields); err != nil {
		return logs.Line{}, false
	}
	line := logs.Line{Fields: fields, Bytes: len(text) - start + 1}
	line.VM, _ = fields["vm"].(string)
	line.Level, _ = fields["level"].(string)
	line.Message, _ = fields["message"].(string)
	timestamp, _ := fields["time"].(string)
	var err error
	if line.Time, err = time.Parse(time.RFC3339Nano, timestamp); err != nil || line.Message == "" {
		return logs.Line{}, false
	}
	for _, name := range []string{"vm", "level", "message", "time"} {
		delete(fields, name)
	}
	return line, true
}

// Files returns the sorted names of the regular files below a directory and their
// total size in bytes. Errors: BadRequest for a directory that cannot be read.
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

// Size returns the total size of files in bytes. Standard input, named -, and
// files that cannot be read count as 0.
func Size(names []string) (bytes int64) {
	for _, name := range names {
		if info, err := os.Stat(name); err == nil {
			bytes += info.Size()
		}
	}
	return bytes
}

// ReadFile passes the lines of a file, or of standard input for the name -, to
// sink. It also writes the bytes read from a file to progress. Errors: BadRequest.
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
