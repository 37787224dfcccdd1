package agent

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/internal/settings"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const silenceTimeout = 15 * time.Second

var (
	now   = time.Now()
	entry = structs.EntryInfo{Name: "e1", Incarnation: 7, RPCAddr: "127.0.0.1:1"}
)

func TestLookupBacksOffWithoutHeartbeats(t *testing.T) {
	g := NewWithT(t)
	opts := Options{LookupInterval: settings.Duration(time.Minute), SilenceTimeout: settings.Duration(silenceTimeout)}
	s := newLookupSchedule(&opts)
	lookups := 0
	for at := time.Duration(0); at < time.Minute; at += announcePollInterval {
		if s.due(now.Add(at), true) {
			lookups++
			s.lookupDone(now.Add(at), errors.New("balancer is down"))
		}
	}
	g.Expect(lookups).To(BeNumerically("<=", 24), "the backoff reaches at least 4 s")
	g.Expect(lookups).To(BeNumerically(">=", 10), "the backoff is at most 6 s")

	s.lookupDone(now, nil)
	g.Expect(s.due(now.Add(silenceTimeout), false)).To(BeFalse())
	g.Expect(s.due(now.Add(silenceTimeout), true)).To(BeTrue())
	g.Expect(s.due(now.Add(72*time.Second), false)).To(BeTrue())
	s.connectionLost(now)
	g.Expect(s.due(now.Add(2*lookupAfterLoss), false)).To(BeTrue())
}

func TestAnnouncementIsRetriedUntilAnswered(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory(silenceTimeout)
	d.add([]structs.EntryInfo{entry}, now)
	first := d.due(now)
	g.Expect(first).To(HaveLen(1))
	g.Expect(d.due(now)).To(BeEmpty(), "only one announcement is in flight")
	d.recordAnnouncement(first[0], false, now)
	g.Expect(d.due(now)).To(BeEmpty(), "a failed announcement is retried after a backoff")
	again := d.due(now.Add(announceRetryMax))
	g.Expect(again).To(HaveLen(1))
	d.recordAnnouncement(again[0], true, now.Add(announceRetryMax))
	g.Expect(d.due(now.Add(announceRetryMax + time.Second))).To(BeEmpty())
	g.Expect(d.pending()).To(BeFalse())

	d.stateChanged()
	g.Expect(d.pending()).To(BeTrue())
	g.Expect(d.due(now.Add(announceRetryMax + time.Second))).To(HaveLen(1))
}

// A state change while an announcement is in flight must be announced too: the
// announcement in flight may carry the previous state.
func TestStateChangeDuringAnnouncementIsAnnounced(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory(silenceTimeout)
	d.add([]structs.EntryInfo{entry}, now)
	inFlight := d.due(now)
	d.stateChanged()
	d.recordAnnouncement(inFlight[0], true, now)
	g.Expect(d.due(now)).To(HaveLen(1))
}

func TestSilentEntryIsAnnouncedToAgainAndEvicted(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory(silenceTimeout)
	d.recordHeartbeat(entry, now)
	g.Expect(d.due(now)).To(BeEmpty(), "an entry that sends heartbeats knows the agent")
	g.Expect(d.silent(now.Add(silenceTimeout))).To(BeTrue())
	again := d.due(now.Add(silenceTimeout))
	g.Expect(again).To(HaveLen(1))
	d.recordAnnouncement(again[0], false, now.Add(silenceTimeout))
	g.Expect(d.due(now.Add(evictTimeout))).To(BeEmpty())
	g.Expect(d.list()).To(BeEmpty())
}

func TestDirectorySizeIsLimited(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory(silenceTimeout)
	for i := range 2 * maxEntries {
		d.recordHeartbeat(structs.EntryInfo{Incarnation: structs.Incarnation(i + 1), RPCAddr: "127.0.0.1:1"}, now)
	}
	g.Expect(d.list()).To(HaveLen(maxEntries))
}
