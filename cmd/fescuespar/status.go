package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"fescuespar/internal/adapters/configjson"
	"fescuespar/internal/adapters/operatorclient"
)

func init() {
	register("status", "Show processes, deployments and warnings", &statusCommand{})
}

// statusCommand prints the status of the service, or of one relay process.
type statusCommand struct {
	outputOption
	serviceOptions
	Relay bool `long:"relay" description:"a process on the users' platform: the address is its metrics address, no token is needed"`
}

// memberOutput is the JSON output of one entry process.
type memberOutput configjson.MemberStatus

// LongDescription returns the command's help.
func (*statusCommand) LongDescription() string {
	return `Shows the generation in force, each entry process with its state, each deployment with its weight version, step, queue, samples in progress and owner, and warnings with the section of docs/OPERATIONS.md that says what to do.

With --relay it shows the state of one process on the users' platform: services of the platform that do not answer, members, leases, open jobs, and backend servers that get no work.

Example: fescuespar status --address 192.0.2.7:8080 --token-file operator.token
Example: fescuespar status --relay --address 192.0.2.7:9464` + exitCodesHelp
}

// Execute runs the command.
func (c *statusCommand) Execute([]string) error {
	if c.Relay {
		return c.relayStatus()
	}
	status, err := fetch(c.serviceOptions, (*operatorclient.Client).Status)
	if err != nil {
		return err
	}
	return c.print(status, func(w io.Writer) { writeStatus(w, status) })
}

func writeStatus(w io.Writer, status configjson.Status) {
	const minWidth, tabWidth, padding = 0, 0, 2
	fmt.Fprintf(w, "generation %d in force\n\n", status.Generation)
	t := tabwriter.NewWriter(w, minWidth, tabWidth, padding, ' ', 0)
	fmt.Fprintln(t, "VM\tSTATE\tGENERATION\tADDRESS")
	for _, m := range status.Members {
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\n", m.VM, m.State, m.Generation, m.Address)
	}
	fmt.Fprintln(t, "\nDEPLOYMENT\tVERSION\tSTEP\tQUEUE\tSAMPLES\tOWNER")
	for _, d := range status.Deployments {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%s\n", d.Name, orNoValue(d.Version), orNoValue(d.Step), d.Queue, orNoValue(d.Running), orNoValue(d.Owner))
	}
	t.Flush()
	for _, warning := range status.Warnings {
		fmt.Fprintf(w, "\nwarning: %s\n  what to do: %q in %s\n", warning.Message, warning.Section, warning.Page)
	}
}

// noValue is printed for a value that is unknown or does not exist.
const noValue = "-"

func orNoValue[T comparable](value T) string {
	var zero T
	if value == zero {
		return noValue
	}
	return fmt.Sprint(value)
}
