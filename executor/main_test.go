package executor_test

import (
	"flag"
	"os"
	"testing"
)

// modelChecks is how many histories TestModel draws unless told otherwise.
const modelChecks = "1000"

func TestMain(m *testing.M) {
	flag.Set("rapid.checks", modelChecks)
	flag.Parse()
	os.Exit(m.Run())
}
