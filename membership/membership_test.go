package membership_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/membership"
	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func process(role string, i int) session.Process {
	return session.Process{
		Name: fmt.Sprintf("%s-%d", role, i), Role: role, Addr: fmt.Sprintf("10.0.0.%d:1", i), Incarnation: structs.Incarnation(i),
	}
}

// entryPair returns the memberships of two entries, processes 1 and 2, that know
// each other and the same agents.
func entryPair(agents int) (a, b *membership.Table) {
	a, b = membership.New("10.0.0.1:1"), membership.New("10.0.0.2:1")
	a.Add(now, process(session.RoleEntry, 2))
	b.Add(now, process(session.RoleEntry, 1))
	for i := range agents {
		a.Add(now, process(session.RoleAgent, 10+i))
		b.Add(now, process(session.RoleAgent, 10+i))
	}
	return a, b
}

// With seventy servers, entries and agents sent the whole list of processes with
// each exchange. Entries whose digests are equal send none.
func TestExchangeWithEqualDigestsReturnsNoProcesses(t *testing.T) {
	g := NewWithT(t)
	a, b := entryPair(70)
	req := &session.ExchangeRequest{From: process(session.RoleEntry, 1), Digest: a.Digest()}
	g.Expect(b.ProcessesFor(process(session.RoleEntry, 2), req)).To(BeEmpty())

	b.Add(now, process(session.RoleAgent, 99))
	processes := b.ProcessesFor(process(session.RoleEntry, 2), req)
	g.Expect(processes).To(HaveLen(73))
	a.Add(now, processes...)
	g.Expect(a.Digest()).To(Equal(b.Digest()))
}

func TestAgentsReceiveOnlyEntries(t *testing.T) {
	g := NewWithT(t)
	_, b := entryPair(70)
	processes := b.ProcessesFor(process(session.RoleEntry, 2), &session.ExchangeRequest{From: process(session.RoleAgent, 10)})
	g.Expect(processes).To(ConsistOf(process(session.RoleEntry, 1), process(session.RoleEntry, 2)))
}

// An entry that had failed permanently made each agent announce itself to all
// entries twice a second, until the failed one was removed after a minute.
func TestWithoutSessionOmitsEntriesInSession(t *testing.T) {
	g := NewWithT(t)
	table := membership.New("10.0.0.50:1")
	for i := range 13 {
		table.Add(now, process(session.RoleEntry, 1+i))
	}
	table.AddSeeds(now, []string{"10.0.0.14:1"}) // its incarnation is not known yet
	inSession := func(i structs.Incarnation) bool { return i != 0 && i != 5 }
	g.Expect(table.WithoutSession(inSession)).To(ConsistOf(
		process(session.RoleEntry, 5), session.Process{Name: "seed", Role: session.RoleEntry, Addr: "10.0.0.14:1"}))
}

func TestUnreachableProcessIsRemovedAfterTimeout(t *testing.T) {
	g := NewWithT(t)
	table, _ := entryPair(1)
	g.Expect(table.MarkUnreachable(now.Add(59*time.Second), "10.0.0.10:1")).To(BeFalse())
	table.MarkReachable(now.Add(59*time.Second), "10.0.0.10:1")
	g.Expect(table.MarkUnreachable(now.Add(61*time.Second), "10.0.0.10:1")).To(BeFalse())
	g.Expect(table.MarkUnreachable(now.Add(120*time.Second), "10.0.0.10:1")).To(BeTrue())
	g.Expect(table.List(session.RoleAgent)).To(BeEmpty())
}

// An entry dials an agent again without delay when the store announces a new
// incarnation of it.
func TestReplacesReportsNewIncarnations(t *testing.T) {
	g := NewWithT(t)
	table, _ := entryPair(1)
	p := process(session.RoleAgent, 10)
	g.Expect(table.Replaces(p)).To(BeFalse())
	p.Incarnation++
	g.Expect(table.Replaces(p)).To(BeTrue())
	table.Add(now, p)
	g.Expect(table.Replaces(p)).To(BeFalse())
	g.Expect(table.Replaces(process(session.RoleAgent, 11))).To(BeFalse(), "its address is not known")
}

// Digests are of addresses only, so that a new incarnation is not learned from a third
// process whose digest is equal. It must be learned from its own requests. Incarnations have
// no order: if they were part of the digest, processes that know the old one would hand it
// back to those that know the new one.
func TestNewIncarnationIsLearnedFromItsOwnRequest(t *testing.T) {
	g := NewWithT(t)
	a, b := entryPair(1)
	restarted := process(session.RoleAgent, 10)
	restarted.Incarnation += 100
	a.Add(now, restarted)
	req := &session.ExchangeRequest{From: process(session.RoleEntry, 2), Digest: b.Digest()}
	g.Expect(a.ProcessesFor(process(session.RoleEntry, 1), req)).To(BeEmpty())

	g.Expect(b.Replaces(restarted)).To(BeTrue())
	g.Expect(b.Add(now, restarted)).To(BeFalse(), "its address is known")
	g.Expect(b.List(session.RoleAgent)).To(ConsistOf(restarted))
	g.Expect(b.Replaces(restarted)).To(BeFalse())
}

// A process that sends requests but cannot be reached is alive and may be reachable again
// soon. Were it removed, its next request would add it again.
func TestProcessThatSendsRequestsIsNotRemoved(t *testing.T) {
	g := NewWithT(t)
	table, _ := entryPair(1)
	agent := process(session.RoleAgent, 10)
	for passed := time.Duration(0); passed < 5*time.Minute; passed += 30 * time.Second {
		table.Add(now.Add(passed), agent)
		table.MarkReachable(now.Add(passed), agent.Addr)
		g.Expect(table.MarkUnreachable(now.Add(passed+29*time.Second), agent.Addr)).To(BeFalse())
	}
	g.Expect(table.MarkUnreachable(now.Add(7*time.Minute), agent.Addr)).To(BeTrue(), "it sends no requests any more")
}
