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

func TestStatus(t *testing.T) {
	g := NewWithT(t)
	g.Expect(exit.Status(nil)).To(Equal(exit.OK))
	g.Expect(exit.Status(errors.New("x"))).To(Equal(exit.Failure))
	g.Expect(exit.Status(fmt.Errorf("y: %w", exit.With(exit.NotRun, errors.New("x"))))).To(Equal(exit.NotRun))
	g.Expect(exit.With(exit.NotRun, nil)).To(Succeed())
}

func TestOnSignal(t *testing.T) {
	g := NewWithT(t)
	ended := make(chan struct{})
	ctx := exit.SignalContext(t.Context(), func() { close(ended) })
	g.Expect(ctx.Err()).NotTo(HaveOccurred())
	g.Expect(syscall.Kill(os.Getpid(), syscall.SIGTERM)).To(Succeed())
	<-ctx.Done()
	select {
	case <-ended:
		t.Fatal("the first signal ended the process")
	default:
	}
	g.Expect(syscall.Kill(os.Getpid(), syscall.SIGINT)).To(Succeed())
	<-ended
}
