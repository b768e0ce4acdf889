package main

import (
	"os"

	"github.com/mattn/go-isatty"
	"github.com/schollz/progressbar/v3"

	"fescuespar/internal/adapters/logread"
)

// progressBytes is the total size of logs from which a progress bar is shown:
// smaller ones are read in less than a second.
const progressBytes = 32 << 20

// readLogs passes the lines of log files to sink and shows the progress on a
// terminal; bytes is the total size of the files. Errors: a usage error for a
// file that cannot be read.
func readLogs(names []string, bytes int64, sink logread.Sink) error {
	bar := progressbar.DefaultBytesSilent(bytes)
	if bytes >= progressBytes && isatty.IsTerminal(os.Stderr.Fd()) {
		bar = progressbar.DefaultBytes(bytes, "reading logs")
	}
	for _, name := range names {
		if err := logread.ReadFile(name, sink, bar); err != nil {
			return usageError("%s: %s", name, err)
		}
	}
	return nil
}
