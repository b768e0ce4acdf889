package main

import (
	"context"
	"os"
	"time"

	"fescuespar/standin/demo"
)

// demoCommand runs the demo.
type demoCommand struct {
	Product     string `long:"product" required:"yes" description:"path of the fescuespar binary"`
	Deployments string `long:"deployments" required:"yes" description:"folder of configuration files to publish"`
	Checked     string `long:"checked" required:"yes" description:"folder of configuration files to check without publishing"`
}

// demoTimeout limits the duration of the demo.
const demoTimeout = 58 * time.Second

func init() {
	register("demo", "Run a site as separate processes, inject failures, and check the results", &demoCommand{})
}

// Execute implements flags.Commander. It runs the demo and prints a table of
// results.
func (c *demoCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	self, err := os.Executable()
	if err != nil {
		return err
	}
	return demo.Run(ctx, demo.Options{
		Product: c.Product, Standin: self, PublishFolder: c.Deployments, CheckFolder: c.Checked, Output: os.Stdout,
	})
}
