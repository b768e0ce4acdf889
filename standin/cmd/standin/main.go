// Command standin runs the stand-ins that replace the platform, backend
// servers, trainers and callers in tests and in the demo.
package main

import (
	"errors"
	"os"

	"github.com/jessevdk/go-flags"
)

// command is one subcommand. Each file of this package registers its own.
type command struct {
	name  string
	short string
	data  flags.Commander
}

var commands []command

func register(name, short string, data flags.Commander) {
	commands = append(commands, command{name, short, data})
}

func main() {
	parser := flags.NewParser(&struct{}{}, flags.Default)
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, c.short, c.data); err != nil {
			panic(err)
		}
	}
	if _, err := parser.Parse(); err != nil {
		var flagsErr *flags.Error
		if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
			return
		}
		os.Exit(1)
	}
}
