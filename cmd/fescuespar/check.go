package main

import (
	"fmt"
	"io"

	"fescuespar/internal/adapters/deploymenttoml"
	"fescuespar/internal/adapters/settings"
	"fescuespar/internal/errkind"
	platform "fescuespar/platform/settings"
)

func init() {
	register("check", "Check operators' files", &checkCommand{})
}

// checkCommand validates operators' files or the settings of a process without
// contacting a service.
type checkCommand struct {
	outputOption
	Settings      string `long:"settings" value-name:"FILE" description:"settings of an entry process, in place of DIR"`
	RelaySettings string `long:"relay-settings" value-name:"FILE" description:"settings of a process on the users' platform, in place of DIR"`
	Args          struct {
		Dir string `positional-arg-name:"DIR" description:"directory with operators' files below it"`
	} `positional-args:"yes"`
}

// LongDescription returns the command's help.
func (*checkCommand) LongDescription() string {
	return `Reads every deployment.toml and *.fescuespar.toml below DIR and reports all mistakes with file, line, key, the value found and the values allowed. With --settings or --relay-settings it validates the settings file of a process the way the process does at its start.

Example: fescuespar check examples/anerie
Example: fescuespar check --settings examples/local/entry.toml` + exitCodesHelp
}

// Execute runs the command.
func (c *checkCommand) Execute([]string) error {
	switch {
	case c.Settings != "":
		return c.checkSettings(c.Settings, loadEntrySettings)
	case c.RelaySettings != "":
		return c.checkSettings(c.RelaySettings, loadRelaySettings)
	case c.Args.Dir == "":
		return usageError("DIR, --settings or --relay-settings is required")
	}
	collection, err := deploymenttoml.Collect(c.Args.Dir)
	if err != nil {
		return err
	}
	if err := c.printProblems(collection); err != nil {
		return err
	}
	return problemsError(collection)
}

func loadEntrySettings(path string) error {
	_, err := settings.Load(path)
	return err
}

func loadRelaySettings(path string) error {
	_, err := platform.Load(path)
	return err
}

// settingsOutput is the JSON output of the check of a settings file.
type settingsOutput struct {
	File    string `json:"file"`
	Mistake string `json:"mistake,omitempty"`
}

// checkSettings prints whether a process could start with the settings file at
// path. It returns the error of load, or that of writing the result.
func (c *checkCommand) checkSettings(path string, load func(string) error) error {
	err := load(path)
	result := settingsOutput{File: path}
	if err != nil {
		result.Mistake = err.Error()
	}
	printErr := c.print(result, func(w io.Writer) {
		if err == nil {
			fmt.Fprintf(w, "no mistakes in %s\n", path)
		}
	})
	if err != nil {
		return err
	}
	return printErr
}

// problemOutput is the JSON output of one mistake.
type problemOutput struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Key     string `json:"key"`
	Found   string `json:"found"`
	Allowed string `json:"allowed"`
}

// checkOutput is the JSON output of the check of operators' files.
type checkOutput struct {
	Files    []string        `json:"files"`
	Problems []problemOutput `json:"problems"`
}

// printProblems prints the files that were checked and the mistakes in them.
func (o outputOption) printProblems(c *deploymenttoml.Collection) error {
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

// problemsError returns an InvalidConfig error when a collection has problems.
func problemsError(c *deploymenttoml.Collection) error {
	if len(c.Problems) == 0 {
		return nil
	}
	return errkind.New(errkind.InvalidConfig, "%d mistakes in %d files", len(c.Problems), len(c.Files))
}
