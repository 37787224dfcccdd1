// Package e2e_test runs the two programs as separate processes on loopback,
// with stand-ins for the platform's log and the backend servers, and checks the
// guarantees of the system while processes are killed or frozen and connections
// fail. The backend servers' own record of starts is the reference.
package e2e_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// standinEnv names the stand-in that a child process of this test binary runs.
const standinEnv = "CHESTNUTHOLLOW_STANDIN"

// binDir holds the programs under test.
var binDir string

func TestMain(m *testing.M) {
	if role := os.Getenv(standinEnv); role != "" {
		runStandin(role, os.Args[1:])
		return
	}
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "chestnuthollow-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	args := []string{"build", "-o", dir + string(filepath.Separator)}
	if raceEnabled {
		args = append(args, "-race")
	}
	build := exec.Command("go", append(args, "../../cmd/...")...)
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the programs: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}
