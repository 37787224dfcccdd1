package cancels_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/cancels"
	"github.com/chestnuthollow/chestnuthollow/session"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func job(name string) cancels.Job { return cancels.Job{Queue: "holds", Name: name} }

// Guards against marks that are passed on from process to process and never expire: the age
// counts from the cancel.
func TestMarkExpiresByItsAge(t *testing.T) {
	g := NewWithT(t)
	var m cancels.Marks
	g.Expect(m.Add(start, job("a"), 20*time.Second)).To(BeTrue())
	g.Expect(m.Has(start.Add(9*time.Second), job("a"))).To(BeTrue())
	g.Expect(m.Has(start.Add(10*time.Second), job("a"))).To(BeFalse())
	list, _ := m.Since(start.Add(5*time.Second), 0)
	g.Expect(list).To(Equal([]session.Cancel{{Job: "a", Queue: "holds", AgoMs: 25_000}}))
	g.Expect(m.Add(start, job("b"), cancels.Retention)).To(BeFalse(), "a mark that is too old when it arrives")
}

// Guards against a job of another queue, which may have the same name, being taken for
// canceled.
func TestMarkIsOfOneQueue(t *testing.T) {
	g := NewWithT(t)
	var m cancels.Marks
	m.Add(start, job("a"), 0)
	g.Expect(m.Has(start, cancels.Job{Queue: "other", Name: "a"})).To(BeFalse())
}

// Guards against memory that grows with cancels, and with what another process sends.
func TestMarksAreBounded(t *testing.T) {
	g := NewWithT(t)
	var m cancels.Marks
	for i := range cancels.MaxMarks + 10 {
		m.Add(start, job(fmt.Sprint(i)), 0)
	}
	g.Expect(m.Len()).To(Equal(cancels.MaxMarks))
	g.Expect(m.Dropped()).To(Equal(10))
	g.Expect(m.Has(start, job("9"))).To(BeFalse(), "the oldest are dropped")
	g.Expect(m.Has(start, job("10"))).To(BeTrue())
	g.Expect(m.Add(start, job(strings.Repeat("x", 1000)), 0)).To(BeFalse())
	m.Add(start.Add(cancels.Retention), job("new"), 0)
	g.Expect(m.Len()).To(Equal(1), "expired marks are removed")
}

// Guards against marks that a session never gets, or gets again with each message.
func TestSinceReturnsEachMarkOnce(t *testing.T) {
	g := NewWithT(t)
	var m cancels.Marks
	m.Add(start, job("a"), 0)
	list, n := m.Since(start, 0)
	g.Expect(list).To(HaveLen(1))
	m.Add(start, job("b"), 0)
	m.Add(start, job("a"), 0)
	list, n = m.Since(start, n)
	g.Expect(list).To(Equal([]session.Cancel{{Job: "b", Queue: "holds"}}))
	list, _ = m.Since(start, n)
	g.Expect(list).To(BeEmpty())
}

// Guards against agents that hold every mark of the system.
func TestOnlyMarksToRelayAreRelayed(t *testing.T) {
	g := NewWithT(t)
	var m cancels.Marks
	m.Add(start, job("a"), 0)
	m.Add(start, job("b"), 0)
	m.Relay(job("b"))
	g.Expect(m.Relayed(start)).To(Equal([]session.Cancel{{Job: "b", Queue: "holds"}}))
	g.Expect(m.Relayed(start.Add(cancels.Retention))).To(BeEmpty())
}

// Guards against an age from another process that overflows or lies in the future.
func TestAgoOfMessageIsBounded(t *testing.T) {
	g := NewWithT(t)
	g.Expect(cancels.Ago(session.Cancel{AgoMs: -5})).To(BeZero())
	g.Expect(cancels.Ago(session.Cancel{AgoMs: 1 << 62})).To(Equal(cancels.Retention))
}
