// Command fescuespar is the rollout service and its command line: one binary.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"
)

// command is one subcommand; each file of this package registers its own.
type command struct {
	name  string
	short string
	data  flags.Commander
}

var registered []command

func register(name, short string, data flags.Commander) {
	registered = append(registered, command{name, short, data})
}

func main() {
	parser := flags.NewParser(&struct{}{}, flags.Default)
	for _, c := range registered {
		if _, err := parser.AddCommand(c.name, c.short, longDescription(c), c.data); err != nil {
			panic(err)
		}
	}
	_, err := parser.Parse()
	os.Exit(exitCode(err))
}

// longDescription returns a command's help text, or its short description.
func longDescription(c command) string {
	if described, ok := c.data.(interface{ LongDescription() string }); ok {
		return described.LongDescription()
	}
	return c.short
}
