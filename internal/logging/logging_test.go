package logging_test

import (
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/internal/logging"
)

// Guards against a line with two times, or with the time at which it was written in place of the event's.
func TestLineHasTimeOfItsEvent(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	l := log.With(logging.New(&out, "e1", "info"), "server", "s1")
	at := time.Date(2026, 12, 7, 4, 9, 42, 861_000_000, time.FixedZone("", 3600))
	g.Expect(level.Info(logging.At(l, at)).Log("event", "task_started", "task", "j/0#1")).To(Succeed())
	g.Expect(out.String()).To(Equal("level=info ts=2026-12-07T03:09:42.861Z process=e1 server=s1 event=task_started task=j/0#1\n"))
}

// Guards against lines that get the time of an earlier one, or none.
func TestLineHasTheCurrentTimeByDefault(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	l := logging.New(&out, "e1", "info")
	before := time.Now()
	logging.At(l, before.Add(-time.Hour))
	g.Expect(l.Log("event", "started")).To(Succeed())
	text, ok := strings.CutPrefix(strings.TrimSuffix(out.String(), " process=e1 event=started\n"), "ts=")
	g.Expect(ok).To(BeTrue(), out.String())
	at, err := time.Parse(time.RFC3339Nano, text)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(at).To(And(BeTemporally(">=", before), BeTemporally("<=", time.Now())))
}
