// Package model_test joins the reducers of entries and agents by a small fake
// network and drives them through interleavings that rapid draws: lost,
// doubled, delayed and reordered messages, crashes with all state gone, pauses
// and broken connections. After every step a judge, which sees only what
// backend servers and callers see, checks the promises of the system.
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
