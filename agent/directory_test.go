package agent

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/internal/settings"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const silence = 15 * time.Second

var (
	now   = time.Now()
	entry = structs.EntryInfo{Name: "e1", Incarnation: 7, RPCAddr: "127.0.0.1:1"}
)

func TestLookupBacksOffAlsoInSilence(t *testing.T) {
	g := NewWithT(t)
	opts := Options{LookupInterval: settings.Duration(time.Minute), SilenceTimeout: settings.Duration(silence)}
	s := newLookupSchedule(&opts)
	lookups := 0
	for at := time.Duration(0); at < time.Minute; at += announcePoll {
		if s.due(now.Add(at), true) {
			lookups++
			s.done(now.Add(at), errors.New("balancer is down"))
		}
	}
	g.Expect(lookups).To(BeNumerically("<=", 24), "4 s between most lookups, at the least")
	g.Expect(lookups).To(BeNumerically(">=", 10), "6 s at the most")

	s.done(now, nil)
	g.Expect(s.due(now.Add(silence), false)).To(BeFalse())
	g.Expect(s.due(now.Add(silence), true)).To(BeTrue())
	g.Expect(s.due(now.Add(72*time.Second), false)).To(BeTrue())
	s.hasten(now)
	g.Expect(s.due(now.Add(2*lookupAfterLoss), false)).To(BeTrue())
}

func TestEntriesAreToldUntilTheyKnow(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory(silence)
	d.add([]structs.EntryInfo{entry}, now)
	first := d.due(now)
	g.Expect(first).To(HaveLen(1))
	g.Expect(d.due(now)).To(BeEmpty(), "one at a time")
	d.announced(first[0], false, now)
	g.Expect(d.due(now)).To(BeEmpty(), "it backs off")
	again := d.due(now.Add(announceRetryMax))
	g.Expect(again).To(HaveLen(1))
	d.announced(again[0], true, now.Add(announceRetryMax))
	g.Expect(d.due(now.Add(announceRetryMax + time.Second))).To(BeEmpty())
	g.Expect(d.pending()).To(BeFalse())

	d.changed()
	g.Expect(d.pending()).To(BeTrue())
	g.Expect(d.due(now.Add(announceRetryMax + time.Second))).To(HaveLen(1))
}

// A change that comes while an announcement is under way is told as well.
func TestChangeDuringAnnouncement(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory(silence)
	d.add([]structs.EntryInfo{entry}, now)
	under := d.due(now)
	d.changed()
	d.announced(under[0], true, now)
	g.Expect(d.due(now)).To(HaveLen(1))
}

func TestSilentEntriesAreToldAgainAndForgotten(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory(silence)
	d.heard(entry, now)
	g.Expect(d.due(now)).To(BeEmpty(), "an entry that heartbeats knows the agent")
	g.Expect(d.silent(now.Add(silence))).To(BeTrue())
	again := d.due(now.Add(silence))
	g.Expect(again).To(HaveLen(1))
	d.announced(again[0], false, now.Add(silence))
	g.Expect(d.due(now.Add(forgetAfter))).To(BeEmpty())
	g.Expect(d.list()).To(BeEmpty())
}

func TestKnownEntriesAreCapped(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory(silence)
	for i := range 2 * maxEntries {
		d.heard(structs.EntryInfo{Incarnation: structs.Incarnation(i + 1), RPCAddr: "127.0.0.1:1"}, now)
	}
	g.Expect(d.list()).To(HaveLen(maxEntries))
}
