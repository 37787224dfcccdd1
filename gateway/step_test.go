package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/internal/logging"
)

// Guards against lines of an entry that have the time at which they were written: one that is suspended
// before it writes job_refused seems to refuse the job when it goes on.
func TestLineWrittenLateHasTimeOfItsEvent(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	var written time.Time
	lines := logging.New(&out, "entry-1", "info")
	gw := newIdleGateway(&out)
	gw.logger = log.LoggerFunc(func(keyvals ...any) error {
		time.Sleep(20 * time.Millisecond)
		written = time.Now()
		return lines.Log(keyvals...)
	})
	before := time.Now()
	gw.step(dispatch.LeaveRequested{Until: before.Add(time.Second)})
	_, rest, ok := strings.Cut(out.String(), "ts=")
	g.Expect(ok).To(BeTrue(), out.String())
	text, _, _ := strings.Cut(rest, " ")
	at, err := time.Parse(time.RFC3339Nano, text)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(at).To(And(BeTemporally(">=", before), BeTemporally("<=", written.Add(-20*time.Millisecond))))
}
