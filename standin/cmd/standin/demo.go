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
	Deployments string `long:"deployments" required:"yes" description:"folder of operators' files to publish"`
	Checked     string `long:"checked" required:"yes" description:"folder of operators' files to check"`
}

// demoTimeout bounds the whole demo.
const demoTimeout = 58 * time.Second

func init() {
	register("demo", "Run a site as separate processes, break it, and check what held", &demoCommand{})
}

// Execute runs the demo and prints its table.
func (c *demoCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	self, err := os.Executable()
	if err != nil {
		return err
	}
	return demo.Run(ctx, demo.Options{
		Product: c.Product, Standin: self, Deployments: c.Deployments, Checked: c.Checked, Output: os.Stdout,
	})
}
