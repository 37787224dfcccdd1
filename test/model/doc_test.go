// Package model_test connects the reducers of entries and agents by a simulated
// network and drives them through interleavings drawn by rapid: messages are
// lost, duplicated, delayed and reordered; processes crash and lose all state,
// or pause; connections break. After every step a checker, which sees only what
// backend servers and callers see, verifies the invariants of the system.
package model_test

import (
	"flag"
	"os"
	"testing"
)

// Defaults of rapid's flags; the command line overrides them.
const (
	defaultChecks = "300"
	defaultSteps  = "250"
)

func TestMain(m *testing.M) {
	flag.Set("rapid.checks", defaultChecks)
	flag.Set("rapid.steps", defaultSteps)
	flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}
