package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"fescuespar/internal/adapters/logread"
	"fescuespar/internal/core/logs"
)

// explainCommand prints the log lines about one id from the logs of several
// processes, ordered by time.
type explainCommand struct {
	outputOption
	Around time.Duration `long:"around" value-name:"DURATION" description:"add changes in the same VMs' view of the site up to this long before"`
	Args   struct {
		ID    string           `positional-arg-name:"ID" description:"id of a request, job, item, backend server or lease, or FIELD=VALUE"`
		Files []flags.Filename `positional-arg-name:"FILE" required:"1" description:"logs of processes; - reads standard input"`
	} `positional-args:"yes" required:"yes"`
}

func init() {
	register("explain", "Show from logs what happened to a request, job, item, backend server, lease or version", &explainCommand{})
}

// LongDescription returns the command's help.
func (*explainCommand) LongDescription() string {
	return `Prints the log lines that contain ID, of all VMs, ordered by time. FIELD=VALUE selects the lines in which a field has a value.

Example: fescuespar explain 7c41e09b52d6a3f8 --around 10s entry-1.log entry-2.log
Example: fescuespar explain version=17 entry-1.log` + exitCodesHelp
}

// Execute reads the logs and prints the selected lines. Errors: a usage error for
// a file that cannot be read.
func (c *explainCommand) Execute([]string) error {
	builder := logs.NewTimelineBuilder(c.Args.ID, c.Around)
	var names []string
	for _, name := range c.Args.Files {
		names = append(names, string(name))
	}
	if err := readLogs(names, logread.Size(names), builder); err != nil {
		return err
	}
	timeline := builder.Timeline()
	return c.print(timeline, func(w io.Writer) { writeTimeline(w, &timeline) })
}

// writeTimeline writes the selected lines as text. Context lines, which do not
// contain the id, are marked with a dot.
func writeTimeline(w io.Writer, timeline *logs.Timeline) {
	matching := 0
	for i := range timeline.Lines {
		line := &timeline.Lines[i]
		mark := " "
		if line.Context {
			mark = "."
		} else {
			matching++
		}
		var fields []string
		for name, value := range line.Fields {
			fields = append(fields, fmt.Sprintf("%s=%v", name, value))
		}
		slices.Sort(fields)
		fmt.Fprintf(w, "%s %s  %-20s  %-5s  %s  %s\n", mark, line.Time.Format("15:04:05.000"), line.VM, line.Level, line.Message, strings.Join(fields, " "))
	}
	fmt.Fprintf(w, "%d of %d lines name %s; %d lines are damaged\n", matching, timeline.Read, timeline.ID, timeline.Damaged)
}
