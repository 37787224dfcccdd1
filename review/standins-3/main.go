package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// playTime bounds one play.
const playTime = 115 * time.Second

// Exit statuses.
const (
	exitHeld = iota
	exitBroken
	exitNotPlayed
)

// cases are the plays by name. Each returns what breaks the rule.
var cases = map[string]func(*system) ([]string, error){
	"cut-entry":     cutEntry,
	"frozen-entry":  frozenEntry,
	"many-entries":  manyEntries,
	"regions":       regions,
	"removed-route": removedRoute,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-3 CASE FOLDER")
		return exitNotPlayed
	}
	ctx, cancel := context.WithTimeout(context.Background(), playTime)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	r, err := newRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotPlayed
	}
	defer r.file.Close()
	s, err := newSystem(ctx, r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotPlayed
	}
	type result struct {
		broken []string
		err    error
	}
	played := make(chan result, 1)
	go func() {
		broken, err := cases[args[0]](s)
		played <- result{broken, err}
	}()
	var res result
	select {
	case res = <-played:
	case <-ctx.Done():
		res.err = errors.Join(errNotPlayed, ctx.Err())
	}
	s.end()
	return s.conclude(res.broken, res.err)
}

// conclude writes the result of the play and returns the exit status.
func (s *system) conclude(broken []string, err error) int {
	say := func(line string) {
		s.logf("%s", line)
		fmt.Println(line)
	}
	if err != nil {
		say(err.Error())
		return exitNotPlayed
	}
	if len(broken) == 0 {
		say("result: the rule held")
		return exitHeld
	}
	for _, b := range broken {
		say("broken: " + b)
	}
	say("result: the rule was broken")
	return exitBroken
}
