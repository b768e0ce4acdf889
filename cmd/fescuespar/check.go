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

// checkCommand validates operators' files or a process's settings without a
// service.
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
	return `Reads every deployment.toml and *.fescuespar.toml below DIR and reports all mistakes with file, line, key, what was found and what is allowed. With --settings or --relay-settings it reads the settings file of a process as the process would at its start.

Example: fescuespar check examples/anerie
Example: fescuespar check --settings examples/local/entry.toml` + exitCodesHelp
}

// Execute runs the command.
func (c *checkCommand) Execute([]string) error {
	switch {
	case c.Settings != "":
		return c.settings(c.Settings, entrySettings)
	case c.RelaySettings != "":
		return c.settings(c.RelaySettings, relaySettings)
	case c.Args.Dir == "":
		return usageError("DIR, --settings or --relay-settings is required")
	}
	collection, err := deploymenttoml.Collect(c.Args.Dir)
	if err != nil {
		return err
	}
	if err := c.report(collection); err != nil {
		return err
	}
	return mistakes(collection)
}

func entrySettings(path string) error {
	_, err := settings.Load(path)
	return err
}

func relaySettings(path string) error {
	_, err := platform.Load(path)
	return err
}

// settingsOutput is the result of a check of settings in JSON output.
type settingsOutput struct {
	File    string `json:"file"`
	Mistake string `json:"mistake,omitempty"`
}

// settings reports whether a process could start with a settings file.
func (c *checkCommand) settings(path string, load func(string) error) error {
	err := load(path)
	result := settingsOutput{File: path}
	if err != nil {
		result.Mistake = err.Error()
	}
	printed := c.print(result, func(w io.Writer) {
		if err == nil {
			fmt.Fprintf(w, "no mistakes in %s\n", path)
		}
	})
	if err != nil {
		return err
	}
	return printed
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
