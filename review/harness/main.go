// Command harness runs one case of the review: the project's programs as processes, against
// stand-ins of the platform. It exits with 1 if the rule was broken, 0 if it held and 2 if
// the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longestRun bounds a case.
const longestRun = 115 * time.Second

// cases are the cases by name. With trouble unset, a case leaves its disruption out.
var cases = map[string]func(s *system, trouble bool) error{
	"again":    againCase,
	"cancel":   cancelCase,
	"evacuate": evacuateCase,
	"label":    labelCase,
	"refusal":  refusalCase,
	"writer":   writerCase,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE ROOT RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, root, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s, err := newSystem(root, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.stop(os.Getenv("KEEP"))
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- cases[name](s, os.Getenv("TROUBLE") != "0") }()
	select {
	case err = <-done:
	case <-interrupted:
		err = errors.New("interrupted")
	case <-time.After(longestRun):
		err = fmt.Errorf("no end within %v", longestRun)
	}
	if err != nil {
		rec.log("failed %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	n := rec.broken()
	rec.log("end    violations=%d", n)
	fmt.Printf("%s: violations=%d\n", name, n)
	if n > 0 {
		return 1
	}
	return 0
}
