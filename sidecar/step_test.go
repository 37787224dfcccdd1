package sidecar

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/internal/logging"
	"github.com/chestnuthollow/chestnuthollow/taskrunner"
)

// silentServer is a backend server that does not reply.
type silentServer struct{ Server }

// RenewLease implements Server.
func (silentServer) RenewLease(ctx context.Context, _ taskrunner.RenewLease) taskrunner.RenewReplied {
	<-ctx.Done()
	return taskrunner.RenewReplied{}
}

// Guards against lines of an agent that have the time at which they were written: one that is suspended
// before it writes task_started seems to start the task when it goes on.
func TestLineWrittenLateHasTimeOfItsEvent(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	var written time.Time
	lines := logging.New(&out, "agent-1", "info")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &Sidecar{
		platform: Platform{Server: silentServer{}}, background: ctx,
		logger: log.LoggerFunc(func(keyvals ...any) error {
			if written.IsZero() {
				time.Sleep(20 * time.Millisecond)
				written = time.Now()
			}
			return lines.Log(keyvals...)
		}),
		runner: taskrunner.New(taskrunner.Options{Agent: "agent-1"}), wakeTimer: time.NewTimer(time.Hour),
		drained: make(chan struct{}), calls: make(map[taskrunner.CallID]chan any), conns: make(map[uint64]context.Context),
	}
	before := time.Now()
	s.step(taskrunner.LeaveRequested{})
	_, rest, ok := strings.Cut(out.String(), "ts=")
	g.Expect(ok).To(BeTrue(), out.String())
	text, _, _ := strings.Cut(rest, " ")
	at, err := time.Parse(time.RFC3339Nano, text)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(at).To(And(BeTemporally(">=", before), BeTemporally("<=", written.Add(-20*time.Millisecond))))
}
