// Command fescuespar is the rollout service and its command-line tools in one
// binary.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"
)

// command is one subcommand; each is registered by the file that implements it.
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
		if _, err := parser.AddCommand(c.name, c.short, longDescription(c), c.data); err != nil {
			panic(err)
		}
	}
	_, err := parser.Parse()
	os.Exit(exitCode(err))
}

// longDescription returns a command's help text, or its short description if it
// has none.
func longDescription(c command) string {
	if described, ok := c.data.(interface{ LongDescription() string }); ok {
		return described.LongDescription()
	}
	return c.short
}
