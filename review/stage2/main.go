// Command stage2 plays the scripts of the second review: a small deployment on loopback
// addresses with the program's own processes and stand-ins for the platform, the workers and
// the clients.
package main

import (
	"fmt"
	"os"
)

// Results of a script.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

var cases = map[string]func(root, folder string, trouble bool) int{
	"route": playRoute, "model": playModel, "upgrade": playUpgrade, "added": playAdded, "prefix": playPrefix,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage2 CASE ROOT FOLDER")
		os.Exit(cannotRun)
	}
	os.Exit(cases[os.Args[1]](os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
}

func fail(err error) int {
	fmt.Println("the case could not run:", err)
	return cannotRun
}
