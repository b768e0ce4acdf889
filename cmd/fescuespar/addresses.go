package main

import (
	"fmt"
	"io"

	"fescuespar/internal/adapters/operatorclient"
)

func init() {
	register("addresses", "Show the addresses that callers should use", &addressesCommand{})
}

// addressesCommand prints the entry addresses that callers should connect to.
type addressesCommand struct {
	outputOption
	serviceOptions
}

// LongDescription returns the command's help.
func (*addressesCommand) LongDescription() string {
	return `Shows the entry addresses to use, one per line, and how long they may be cached.

Example: fescuespar addresses --address 192.0.2.7:8080 --token-file caller.token` + exitCodesHelp
}

// Execute runs the command.
func (c *addressesCommand) Execute([]string) error {
	answer, err := fetch(c.serviceOptions, (*operatorclient.Client).Addresses)
	if err != nil {
		return err
	}
	return c.print(answer, func(w io.Writer) {
		for _, address := range answer.Addresses {
			fmt.Fprintln(w, address)
		}
		fmt.Fprintf(w, "keep for %d seconds\n", answer.KeepSeconds)
	})
}
