package main

import (
	"fmt"
	"io"

	"fescuespar/internal/adapters/deploymenttoml"
	"fescuespar/internal/errkind"
)

func init() {
	register("check", "Check operators' files", &checkCommand{})
}

// checkCommand validates operators' files without a service.
type checkCommand struct {
	outputOption
	Args dirArgument `positional-args:"yes"`
}

// dirArgument is the directory that holds operators' files.
type dirArgument struct {
	Dir string `positional-arg-name:"DIR" required:"yes" description:"directory with operators' files below it"`
}

// LongDescription returns the command's help.
func (*checkCommand) LongDescription() string {
	return `Reads every deployment.toml and *.fescuespar.toml below DIR and reports all mistakes with file, line, key, what was found and what is allowed.

Example: fescuespar check examples/anerie` + exitCodesHelp
}

// Execute runs the command.
func (c *checkCommand) Execute([]string) error {
	collection, err := deploymenttoml.Collect(c.Args.Dir)
	if err != nil {
		return err
	}
	if err := c.report(collection); err != nil {
		return err
	}
	return mistakes(collection)
}

// problemOutput is a mistake in JSON output.
type problemOutput struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Key     string `json:"key"`
	Found   string `json:"found"`
	Allowed string `json:"allowed"`
}

// checkOutput is the result of a check in JSON output.
type checkOutput struct {
	Files    []string        `json:"files"`
	Problems []problemOutput `json:"problems"`
}

func (o outputOption) report(c *deploymenttoml.Collection) error {
	result := checkOutput{Files: c.Files, Problems: []problemOutput{}}
	for _, p := range c.Problems {
		result.Problems = append(result.Problems, problemOutput(p))
	}
	return o.print(result, func(w io.Writer) {
		for _, p := range c.Problems {
			fmt.Fprintln(w, p)
		}
		if len(c.Problems) == 0 {
			fmt.Fprintf(w, "no mistakes in %d files\n", len(c.Files))
		}
	})
}

// mistakes returns an error when a collection has problems.
func mistakes(c *deploymenttoml.Collection) error {
	if len(c.Problems) == 0 {
		return nil
	}
	return errkind.New(errkind.InvalidConfig, "%d mistakes in %d files", len(c.Problems), len(c.Files))
}
