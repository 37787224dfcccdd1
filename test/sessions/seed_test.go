package sessions_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// TestSeed plays one case again and prints what happens to one job:
//
//	SEED=16622 FAULTS=5 JOB=job10 go test ./test/sessions -run TestSeed -v
func TestSeed(t *testing.T) {
	seed, err := strconv.ParseInt(os.Getenv("SEED"), 10, 64)
	if err != nil {
		t.Skip("no SEED")
	}
	faults, _ := strconv.Atoi(os.Getenv("FAULTS"))
	rapid.Check(t, func(r *rapid.T) {
		if r.Failed() {
			return
		}
		w := newWorld(r, seed)
		w.watch = os.Getenv("JOB")
		w.trace = func(format string, args ...any) { fmt.Printf("%v "+format+"\n", append([]any{w.now}, args...)...) }
		w.play(faults)
	})
}
