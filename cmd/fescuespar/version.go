package main

import (
	"fmt"
	"io"
	"runtime/debug"
)

func init() {
	register("version", "Show the program's version", &versionCommand{})
}

// versionCommand prints the version and source revision of the program.
type versionCommand struct {
	outputOption
}

// versionOutput is the JSON output of the version.
type versionOutput struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Go       string `json:"go"`
}

// LongDescription returns the command's help.
func (*versionCommand) LongDescription() string {
	return `Shows the version, the source revision and the Go release that the program was built with.

Example: fescuespar version --output json` + exitCodesHelp
}

// Execute runs the command.
func (c *versionCommand) Execute([]string) error {
	v := buildVersion()
	return c.print(v, func(w io.Writer) {
		fmt.Fprintf(w, "fescuespar %s, revision %s, %s\n", v.Version, v.Revision, v.Go)
	})
}

func buildVersion() versionOutput {
	v := versionOutput{Version: "unknown", Revision: "unknown"}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return v
	}
	v.Version = info.Main.Version
	v.Go = info.GoVersion
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			v.Revision = setting.Value
		}
	}
	return v
}
