// Command stage3 plays the cases of an independent review: it starts the system's program as
// separate processes between stand-ins of the platform's store, workers and clients, brings a
// disruption about, and checks one rule of the users' pages.
//
//	stage3 CASE FOLDER
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment it leaves the disruption out. REPOSITORY is the root of the
// repository. What was sent, answered and run is written to record.txt in the folder.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// play is one case. It returns what broke the rule, empty if it held.
type play func(rec *record, trouble bool) (broken []string, err error)

var plays = map[string]play{
	"moved":   playMoved,
	"limit":   playLimit,
	"rolling": playRolling,
}

// Statuses of the exit.
const (
	held     = 0
	isBroken = 1
	notRun   = 2
)

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage3 CASE FOLDER")
		os.Exit(notRun)
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	broken, err := plays[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.logf("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		os.Exit(notRun)
	case len(broken) > 0:
		for _, why := range broken {
			rec.logf("BROKEN: %s", why)
			fmt.Println("BROKEN:", why)
		}
		os.Exit(isBroken)
	}
	rec.logf("the rule held")
	fmt.Println("the rule held")
	os.Exit(held)
}
