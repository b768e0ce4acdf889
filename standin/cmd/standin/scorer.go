package main

import (
	"fescuespar/internal/core"
	"fescuespar/standin/scorer"
)

func init() {
	register("scorer", "stand-in for a scoring service", &scorerCommand{})
}

type scorerCommand struct {
	Listen string  `long:"listen" default:"127.0.0.1:0" description:"address to listen on"`
	VM     vmFlags `group:"VM list"`

	DelayMillis int `long:"delay-ms" default:"20" description:"delay in milliseconds before each score"`
	FailEvery   int `long:"fail-every" description:"every n-th call fails; zero disables failures"`
}

// Execute implements flags.Commander.
func (c *scorerCommand) Execute([]string) error {
	standin := scorer.New(scorer.Faults{DelayMillis: c.DelayMillis, FailEvery: c.FailEvery})
	return backend{kind: core.KindScorer, listen: c.Listen, vm: c.VM}.serve(standin)
}
