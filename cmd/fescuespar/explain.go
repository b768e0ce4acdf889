package main

import (
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"fescuespar/internal/adapters/logread"
)

// explainCommand tells one thing's story from the logs of several processes.
type explainCommand struct {
	outputOption
	Args struct {
		ID    string           `positional-arg-name:"ID" description:"id of a request, job, item, backend server or lease"`
		Files []flags.Filename `positional-arg-name:"FILE" required:"1" description:"logs of processes; - reads standard input"`
	} `positional-args:"yes" required:"yes"`
}

func init() {
	register("explain", "Tell from logs what became of a request, job, item, backend server or lease. "+
		"Example: fescuespar explain 7c41e09b52d6a3f8 entry-1.log", &explainCommand{})
}

// Execute reads the logs and prints the story. Errors: usage for a file that
// cannot be read.
func (c *explainCommand) Execute([]string) error {
	reader := logread.New(c.Args.ID)
	for i, name := range c.Args.Files {
		if len(c.Args.Files) > 1 {
			fmt.Fprintf(os.Stderr, "\rreading %d of %d: %s", i+1, len(c.Args.Files), name)
		}
		if err := readLog(reader, string(name)); err != nil {
			return usageError("%s: %s", name, err)
		}
	}
	if len(c.Args.Files) > 1 {
		fmt.Fprintln(os.Stderr)
	}
	story := reader.Story()
	return c.print(story, story.Write)
}

func readLog(reader *logread.Reader, name string) error {
	var log io.Reader = os.Stdin
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		defer file.Close()
		log = file
	}
	return reader.Read(log)
}
