package executor_test

import (
	"flag"
	"os"
	"testing"
)

// modelChecks is the default number of random histories that TestModel runs; the
// flag -rapid.checks overrides it.
const modelChecks = "1000"

func TestMain(m *testing.M) {
	flag.Set("rapid.checks", modelChecks)
	flag.Parse()
	os.Exit(m.Run())
}
