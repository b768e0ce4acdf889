package main

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"

	"fescuespar/internal/adapters/logread"
	"fescuespar/internal/adapters/plots"
	"fescuespar/internal/core/logs"
	"fescuespar/internal/errkind"
)

// reportCommand prints statistics of a directory of logs and draws them as
// charts.
type reportCommand struct {
	outputOption
	Page string `long:"page" default:"report.html" value-name:"FILE" description:"HTML page to write the charts to"`
	Args struct {
		Directory string `positional-arg-name:"DIRECTORY" required:"yes" description:"directory with the logs of processes"`
	} `positional-args:"yes"`
}

func init() {
	register("report", "Summarize a directory of logs in figures and charts", &reportCommand{})
}

// LongDescription returns the command's help.
func (*reportCommand) LongDescription() string {
	return `Reads every file below DIRECTORY, prints requests by outcome, jobs, changes in the processes' view of the site and the volume of the logs, and writes charts of them over time to an HTML page.

Example: fescuespar report logs/ --page report.html` + exitCodesHelp
}

// Execute reads the logs, writes the page and prints the statistics. Errors: a
// usage error for a directory that cannot be read or has no log lines.
func (c *reportCommand) Execute([]string) error {
	names, bytes, err := logread.Files(c.Args.Directory)
	if err != nil {
		return usageError("%s: %s", c.Args.Directory, err)
	}
	builder := logs.NewReportBuilder()
	if err := readLogs(names, bytes, builder); err != nil {
		return err
	}
	report := builder.Report()
	if report.Volume.Lines == 0 {
		return usageError("%s: found no log lines in %d files", c.Args.Directory, len(names))
	}
	if err := writePage(c.Page, report); err != nil {
		return err
	}
	return c.print(report, func(w io.Writer) { writeReport(w, report, c.Page) })
}

func writePage(name string, report *logs.Report) error {
	file, err := os.Create(name)
	if err != nil {
		return usageError("%s", err)
	}
	if err := plots.Page(file, report); err != nil {
		_ = file.Close() // the error of writing the page says more
		return err
	}
	return errkind.Wrap(errkind.Internal, file.Close(), "write %s", name)
}

func writeReport(w io.Writer, report *logs.Report, page string) {
	const minWidth, tabWidth, padding = 0, 0, 2
	t := tabwriter.NewWriter(w, minWidth, tabWidth, padding, ' ', 0)
	v := &report.Volume
	span := report.To.Sub(report.From).Seconds()
	fmt.Fprintf(t, "lines\t%d of %d VMs in %.0f s, %d damaged, %d dropped\n", v.Lines, v.VMs, span, v.Damaged, v.Dropped)
	fmt.Fprintf(t, "for each request or run\t%.2f lines, %.0f bytes\n", v.LinesPerRequest, v.BytesPerRequest)
	fmt.Fprintf(t, "busiest second of a VM\t%d lines\n", v.BusiestSecond)
	for _, outcome := range slices.Sorted(maps.Keys(report.Outcomes)) {
		fmt.Fprintf(t, "requests: %s\t%d\n", outcome, report.Outcomes[outcome])
	}
	completeJobs := 0
	for i := range report.Jobs {
		if job := &report.Jobs[i]; job.Items > 0 && job.Results >= job.Items {
			completeJobs++
		}
	}
	fmt.Fprintf(t, "jobs\t%d, %d with results for all items\n", len(report.Jobs), completeJobs)
	for _, belief := range slices.Sorted(maps.Keys(report.StateChanges)) {
		fmt.Fprintf(t, "%s\t%d\n", belief, report.StateChanges[belief])
	}
	t.Flush()
	fmt.Fprintf(w, "charts: %s\n", page)
}
