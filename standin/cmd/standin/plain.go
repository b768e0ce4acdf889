package main

import (
	"os"

	"fescuespar/internal/core"
	"fescuespar/standin/plain"
)

func init() {
	register("plain", "stand-in for a plain service", &plainCommand{})
}

type plainCommand struct {
	Listen string  `long:"listen" default:"127.0.0.1:0" description:"address to listen on"`
	VM     vmFlags `group:"VM list"`

	DelayMillis int `long:"delay-ms" description:"delay in milliseconds before each call takes effect"`
}

// Execute implements flags.Commander.
func (c *plainCommand) Execute([]string) error {
	standin := plain.New(plain.Options{Name: c.VM.ID, Exit: func() { os.Exit(crashStatus) }})
	standin.SetFaults(plain.Faults{DelayMillis: c.DelayMillis})
	defer standin.Close()
	return backend{kind: core.KindPlain, listen: c.Listen, vm: c.VM}.serve(standin)
}
