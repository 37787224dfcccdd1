// Command standins-3 runs the scripted cases of the third review: the project's own programs as
// separate processes, against stand-ins of the platform, its servers and its callers.
//
// Usage: standins-3 CASE FOLDER. It writes FOLDER/record.txt and exits with 1 if the rule of the
// case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the scripted cases by name. Each returns whether its rule was broken. Trouble is false
// for the run without the disruption.
var cases = map[string]func(s *system, trouble bool) (bool, error){
	"all-entries-killed": allEntriesKilled,
	"queue-removed":      queueRemoved,
	"stale-seeds":        staleSeeds,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-3 CASE FOLDER")
		return exitFailed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	s, err := newSystem(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	broken, err := cases[os.Args[1]](s, trouble)
	err = errors.Join(err, s.close())
	switch {
	case err != nil:
		s.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case broken:
		s.note("result: the rule was broken")
		return exitBroken
	}
	s.note("result: the rule held")
	return exitHeld
}
