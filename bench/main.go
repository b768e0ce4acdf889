// Command bench runs the decisions of internal/core on a virtual clock against
// fakes of the backend servers, beside simpler policies on the same load, and
// prints one table. The same seed gives the same table.
package main

import (
	"fmt"
	"io"
	"os"
	"slices"
	"sync"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Seed     uint64    `long:"seed" default:"1" description:"seed of the workload and of all random choices"`
	Examples string    `long:"examples" default:"examples" description:"directory with the sites' operators' files"`
	Only     []section `long:"only" choice:"training" choice:"stragglers" choice:"people" choice:"cache" choice:"outage" choice:"killer" description:"part of the table to run; may be given again"`
	Site     string    `long:"site" description:"only this site, such as anerie"`
	Steps    uint64    `long:"steps" value-name:"SEEDS" description:"only submitted steps under load, for so many seeds from 1 on"`
	Seeds    uint64    `long:"training" value-name:"SEEDS" description:"only the training rows, for so many seeds from 1 on"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	if err := run(os.Stdout, opts); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(out io.Writer, opts options) error {
	if opts.Steps > 0 {
		printSteps(out, opts.Steps)
		return nil
	}
	found, err := loadSites(opts.Examples)
	if err != nil {
		return err
	}
	found = slices.DeleteFunc(found, func(s *operator) bool { return opts.Site != "" && s.name != opts.Site })
	if opts.Seeds > 0 {
		for _, s := range found {
			fmt.Fprintf(out, "\n%s, seeds 1 to %d\n\n", s.name, opts.Seeds)
			printTraining(out, s, opts.Seeds)
		}
		return nil
	}
	tables := make([][]row, len(found))
	var running sync.WaitGroup
	for i, s := range found {
		running.Go(func() { tables[i] = table(s, opts.Seed, opts.Only) })
	}
	running.Wait()
	for i, s := range found {
		fmt.Fprintf(out, "\n%s, seed %d\n\n", s.name, opts.Seed)
		print(out, tables[i])
	}
	return nil
}
