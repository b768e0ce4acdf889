// Command bench simulates the decision code of internal/core on a virtual clock
// against fake backend servers, compares it with simpler policies under the same
// load, and prints the results as a table. The same seed gives the same table.
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
	Seed     uint64    `long:"seed" default:"1" description:"seed for the workload and all random choices"`
	Examples string    `long:"examples" default:"examples" description:"directory with the example sites' deployment files"`
	Only     []section `long:"only" choice:"training" choice:"stragglers" choice:"people" choice:"cache" choice:"outage" choice:"killer" description:"section of the table to run; may be repeated"`
	Site     string    `long:"site" description:"run only this site, such as anerie"`
	Steps    uint64    `long:"steps" value-name:"SEEDS" description:"run only submitted steps under load, with this many seeds starting at 1"`
	Seeds    uint64    `long:"training" value-name:"SEEDS" description:"run only the training rows, with this many seeds starting at 1"`
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
	sites, err := loadSites(opts.Examples)
	if err != nil {
		return err
	}
	sites = slices.DeleteFunc(sites, func(s *siteConfig) bool { return opts.Site != "" && s.name != opts.Site })
	if opts.Seeds > 0 {
		for _, s := range sites {
			fmt.Fprintf(out, "\n%s, seeds 1 to %d\n\n", s.name, opts.Seeds)
			printTraining(out, s, opts.Seeds)
		}
		return nil
	}
	tables := make([][]tableRow, len(sites))
	var running sync.WaitGroup
	for i, s := range sites {
		running.Go(func() { tables[i] = buildTable(s, opts.Seed, opts.Only) })
	}
	running.Wait()
	for i, s := range sites {
		fmt.Fprintf(out, "\n%s, seed %d\n\n", s.name, opts.Seed)
		printTable(out, tables[i])
	}
	return nil
}
