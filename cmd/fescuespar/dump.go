package main

import (
	"context"

	"fescuespar/internal/errkind"
)

func init() {
	register("dump", "Show the state of one process", &dumpCommand{})
}

// dumpCommand shows a process's state, which is always JSON.
type dumpCommand struct {
	accessOptions
	Args struct {
		Address string `positional-arg-name:"ADDRESS" required:"yes" description:"callers' address of the process, host:port"`
	} `positional-args:"yes"`
}

// LongDescription returns the command's help.
func (*dumpCommand) LongDescription() string {
	return `Prints the state of the entry process at ADDRESS as JSON.

Example: fescuespar dump 192.0.2.7:8080 --token-file operator.token` + exitCodesHelp
}

// Execute runs the command.
func (c *dumpCommand) Execute([]string) error {
	client, err := c.client(c.Args.Address)
	if err != nil {
		return err
	}
	state, err := client.Dump(context.Background())
	if err != nil {
		return err
	}
	_, err = stdout.Write(append(state, '\n'))
	return errkind.Wrap(errkind.Internal, err, "write the result")
}
