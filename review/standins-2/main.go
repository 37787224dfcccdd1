// Command standins-2 runs one case of the review: the project's programs as processes, with stand-ins of
// clients, servers and the platform. It exits with 1 if the rule of the case was broken, with 0 if it
// held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var cases = map[string]func(root string, r *record, trouble bool) (broken bool, err error){
	"held-up":             heldUp,
	"cancel-then-restart": cancelThenRestart,
	"stale-seeds":         staleSeeds,
	"unseen-end":          unseenEnd,
	"replaced-route":      replacedRoute,
	"removed-route":       removedRoute,
}

// maxDuration bounds the run of a case.
const maxDuration = 110 * time.Second

// giveUp ends this program and the processes that it has started, if the case takes too long or is
// interrupted.
func (r *record) giveUp(path string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case sig := <-signals:
		r.line("the case could not run: %v", sig)
	case <-time.After(maxDuration):
		r.line("the case could not run: it takes longer than %v", maxDuration)
	}
	running.kill()
	r.write(path)
	os.Exit(2)
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE RECORD, in the project's root")
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r := &record{began: time.Now()}
	go r.giveUp(os.Args[2])
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r.line("case %s, disruption: %t", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](root, r, trouble)
	switch {
	case err != nil:
		r.line("the case could not run: %v", err)
	case broken:
		r.line("the rule was broken")
	default:
		r.line("the rule held")
	}
	if err := r.write(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		return 1
	}
	return 0
}
