package asynclog_test

import (
	"errors"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/chestnuthollow/chestnuthollow/internal/asynclog"
)

const (
	// childVariable is set in the process whose output is closed.
	childVariable = "ASYNCLOG_TEST_CHILD"
	childExitCode = 7
)

// Guards against a process that ends with SIGPIPE at its next log line after the reader of
// its standard output has gone.
func TestClosedOutputDoesNotEndTheProcess(t *testing.T) {
	if os.Getenv(childVariable) != "" {
		w := asynclog.New(os.Stdout)
		if _, err := w.Write([]byte("event=test\n")); err != nil {
			t.Fatal(err)
		}
		w.Close()
		os.Exit(childExitCode)
	}
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], "-test.run=^TestClosedOutputDoesNotEndTheProcess$", "-test.timeout="+(10*time.Second).String())
	cmd.Env = append(os.Environ(), childVariable+"=1")
	cmd.Stdout = w
	r.Close()
	err = cmd.Run()
	w.Close()
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != childExitCode {
		t.Errorf("exit status: expected %d, got %v", childExitCode, err)
	}
}
