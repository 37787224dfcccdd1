package sessions_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// TestSeed repeats one case of TestInterleavings and prints the events of one job:
//
//	SEED=16622 FAULTS=5 JOB=job10 go test ./test/sessions -run TestSeed -v
//
// With SCENARIO=cancels it repeats one of TestCanceledJobsDoNotRun, with SCENARIO=resumed one of
// TestResumedEntriesStartNothingForRefusedCallers, and with cut, lostends, latereads, lateacks, wholepaths or
// delayed one of the tests of silent callers.
func TestSeed(t *testing.T) {
	seed, err := strconv.ParseInt(os.Getenv("SEED"), 10, 64)
	if err != nil {
		t.Skip("SEED is not set")
	}
	faults, _ := strconv.Atoi(os.Getenv("FAULTS"))
	rapid.Check(t, func(r *rapid.T) {
		if r.Failed() {
			return
		}
		sim := newSimulation(r, seed)
		sim.tracedJob = os.Getenv("JOB")
		sim.trace = func(format string, args ...any) { fmt.Printf("%v "+format+"\n", append([]any{sim.now}, args...)...) }
		switch os.Getenv("SCENARIO") {
		case "cancels":
			sim.runCancelScenario(25, faults)
		case "resumed":
			sim.runResumedScenario()
		case "cut":
			sim.runCutScenario(faults)
		case "lostends":
			sim.runLostEndsScenario(faults)
		case "latereads":
			sim.runLateReadsScenario(faults)
		case "delayed":
			sim.runDelayedSubmissionsScenario(faults)
		case "lateacks":
			sim.runLateAcksScenario(faults)
		case "wholepaths":
			sim.runWholePathsScenario(faults)
		default:
			sim.runScenario(40, 0, faults)
		}
	})
}
