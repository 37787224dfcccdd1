package exit_test

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/internal/exit"
)

func TestStatusOfWrappedErrors(t *testing.T) {
	g := NewWithT(t)
	g.Expect(exit.Status(nil)).To(Equal(exit.OK))
	g.Expect(exit.Status(errors.New("x"))).To(Equal(exit.Failure))
	g.Expect(exit.Status(fmt.Errorf("y: %w", exit.With(exit.NotRun, errors.New("x"))))).To(Equal(exit.NotRun))
	g.Expect(exit.With(exit.NotRun, nil)).To(Succeed())
}

func TestSecondSignalForcesExit(t *testing.T) {
	g := NewWithT(t)
	forced := make(chan struct{})
	ctx := exit.SignalContext(t.Context(), func() { close(forced) })
	g.Expect(ctx.Err()).NotTo(HaveOccurred())
	g.Expect(syscall.Kill(os.Getpid(), syscall.SIGTERM)).To(Succeed())
	<-ctx.Done()
	select {
	case <-forced:
		t.Fatal("the first signal called forceExit")
	default:
	}
	g.Expect(syscall.Kill(os.Getpid(), syscall.SIGTERM)).To(Succeed())
	g.Consistently(forced, "50ms").ShouldNot(BeClosed(), "a SIGTERM is repeated")
	g.Expect(syscall.Kill(os.Getpid(), syscall.SIGINT)).To(Succeed())
	<-forced
}
