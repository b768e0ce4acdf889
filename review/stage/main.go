// Program review-stage runs the cases of the review: relays as real processes between
// stand-ins of clients, workers and the platform.
//
//	review-stage CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held and
// 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// caseLimit is the longest time that a case may take.
const caseLimit = 115 * time.Second

// verdict is the result of a case: what broke the rule, empty if it held.
type verdict struct {
	broken []string
	err    error // the case could not run
}

// cases are the cases by name; each file of a case adds its own.
var cases = make(map[string]func(folder string, trouble bool) verdict)

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-stage CASE FOLDER")
		os.Exit(2)
	}
	if _, err := os.Stat("target/fescuespar"); err != nil {
		fmt.Fprintln(os.Stderr, "target/fescuespar is missing: run the build line of deploy/system.toml")
		os.Exit(2)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan verdict, 1)
	go func() { done <- cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0") }()
	select {
	case v := <-done:
		os.Exit(report(v))
	case <-stop:
	case <-time.After(caseLimit):
		fmt.Println("the case took too long")
	}
	closeCurrent()
	os.Exit(2)
}

func report(v verdict) int {
	if v.err != nil {
		fmt.Println("could not run:", v.err)
		return 2
	}
	for i, line := range v.broken {
		if i == 10 {
			fmt.Printf("and %d more\n", len(v.broken)-i)
			break
		}
		fmt.Println(line)
	}
	if len(v.broken) > 0 {
		fmt.Printf("rule broken: %d times\n", len(v.broken))
		return 1
	}
	fmt.Println("rule held")
	return 0
}

var current *site

// open starts a site that closeCurrent ends.
func open(folder string, relays int) (*site, error) {
	s, err := newSite(folder, relays)
	current = s
	return s, err
}

func closeCurrent() {
	if current != nil {
		current.close()
	}
}
