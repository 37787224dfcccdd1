package logfollower

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/logstate"
	"github.com/chestnuthollow/chestnuthollow/platformlog"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const (
	// deploymentEntries is the number of entries in the intended deployment.
	deploymentEntries = 12
	day               = 24 * time.Hour
	// readDelay is the time from an append until simulated readers see it.
	readDelay = 2 * time.Second
)

// pendingAppend is an append that readers do not see yet.
type pendingAppend struct {
	at   time.Time // when readers see it
	data []byte
}

// simulation runs the schedules of several entries against one shared state, in
// simulated time.
type simulation struct {
	now       time.Time
	random    *rand.Rand
	schedules []*schedule
	state     *logstate.State
	inFlight  []pendingAppend
	counts    map[logstate.RecordType]int
}

func newSimulation(t *testing.T, entries int, seed uint64) *simulation {
	t.Helper()
	s := &simulation{
		now:    time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC),
		random: rand.New(rand.NewPCG(seed, seed)),
		state:  logstate.New(),
		counts: make(map[logstate.RecordType]int),
	}
	for i := range entries {
		opts := &Options{
			Log:  (*platformlog.Client)(nil),
			Self: structs.EntryInfo{Name: fmt.Sprintf("entry-%d", i), Incarnation: structs.Incarnation(i + 1)},
		}
		NewWithT(t).Expect(opts.setDefaults()).To(Succeed())
		s.schedules = append(s.schedules, &schedule{opts: opts})
	}
	return s
}

// run advances the simulated time by d and appends the records of extra evenly
// over the first half of it.
func (s *simulation) run(t *testing.T, d time.Duration, extra ...logstate.Record) {
	t.Helper()
	start, end, sent := s.now, s.now.Add(d), 0
	for ; s.now.Before(end); s.now = s.now.Add(time.Second) {
		s.deliver(t)
		for _, sc := range s.schedules {
			s.appendDue(t, sc)
		}
		for due := 2 * s.now.Sub(start).Seconds() / d.Seconds() * float64(len(extra)); sent < len(extra) && float64(sent) <= due; sent++ {
			s.append(t, extra[sent])
		}
	}
}

func (s *simulation) appendDue(t *testing.T, sc *schedule) {
	if sc.announcementDue(s.now, s.state) {
		sc.announcedAt = s.now
		s.append(t, logstate.Record{Type: logstate.TypeEntryAnnouncement, EntryAnnouncement: &logstate.EntryAnnouncement{Info: sc.opts.Self, StateOffset: s.state.Next()}})
	}
	if sc.checkpointDue(s.now, s.state, s.random.Float64()) {
		sc.checkpointAt = s.now
		s.append(t, s.state.CheckpointRecord())
	}
}

func (s *simulation) append(t *testing.T, r logstate.Record) {
	t.Helper()
	data, err := logstate.EncodeRecord(r)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	s.counts[r.Type]++
	s.inFlight = append(s.inFlight, pendingAppend{at: s.now.Add(readDelay), data: data})
}

// deliver applies the appends that readers see by now.
func (s *simulation) deliver(t *testing.T) {
	for len(s.inFlight) > 0 && !s.inFlight[0].at.After(s.now) {
		NewWithT(t).Expect(s.state.Apply(s.state.Next(), s.inFlight[0].data)).To(Succeed())
		s.inFlight = s.inFlight[1:]
	}
}

// TestAppendsPerHour: the appends of the intended deployment follow from the
// configured intervals. Although no process is elected to write checkpoints,
// each is written by one or two processes, so that their rate stays within a
// factor of two of the interval's.
func TestAppendsPerHour(t *testing.T) {
	for seed := range uint64(3) {
		g := NewWithT(t)
		s := newSimulation(t, deploymentEntries, seed)
		s.run(t, day)
		announcements := float64(s.counts[logstate.TypeEntryAnnouncement]) / day.Hours()
		checkpoints := float64(s.counts[logstate.TypeCheckpoint]) / day.Hours()
		t.Logf("seed %d, %d entries: %.1f announcements and %.1f checkpoints per hour", seed, deploymentEntries, announcements, checkpoints)
		g.Expect(announcements).To(BeNumerically("~", deploymentEntries*float64(time.Hour/DefaultAnnounceInterval), deploymentEntries))
		checkpointRate := float64(time.Hour / DefaultCheckpointInterval)
		g.Expect(checkpoints).To(BeNumerically(">=", checkpointRate/2))
		g.Expect(checkpoints).To(BeNumerically("<=", 2*checkpointRate))
	}
}

// TestManyRecordsMakeCheckpointDueEarly: a burst of edits is covered by a
// checkpoint before the checkpoint interval has passed, by few processes.
func TestManyRecordsMakeCheckpointDueEarly(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(t, deploymentEntries, 1)
	s.run(t, time.Minute)
	edits := make([]logstate.Record, DefaultCheckpointRecords+deploymentEntries)
	for i := range edits {
		edits[i] = logstate.Record{Type: logstate.TypeEdit, Edit: &logstate.Edit{ID: fmt.Sprintf("e%d", i), Service: "booking", Base: uint64(i), Text: "x"}}
	}
	s.run(t, 4*time.Minute, edits...)
	g.Expect(s.counts[logstate.TypeCheckpoint]).To(And(BeNumerically(">=", 1), BeNumerically("<=", deploymentEntries/2)))
	g.Expect(s.state.SinceCheckpoint()).To(BeNumerically("<", DefaultCheckpointRecords))
}

// TestShortRetentionMakesCheckpointDueEarly: a log that keeps few records must
// still hold a usable checkpoint, so checkpoints are due after fewer records.
func TestShortRetentionMakesCheckpointDueEarly(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(t, 2, 1)
	for _, sc := range s.schedules {
		sc.keptRecords = 40
	}
	edits := make([]logstate.Record, 30)
	for i := range edits {
		edits[i] = logstate.Record{Type: logstate.TypeEdit, Edit: &logstate.Edit{ID: fmt.Sprintf("e%d", i), Service: "booking", Base: uint64(i), Text: "x"}}
	}
	s.run(t, 3*time.Minute, edits...)
	g.Expect(s.state.SinceCheckpoint()).To(BeNumerically("<", 20))
}

// TestAnnouncementIsRepeatedUntilListed: a lost announcement is appended again
// after minAppendInterval; a superseded incarnation does not announce itself.
func TestAnnouncementIsRepeatedUntilListed(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(t, 1, 1)
	sc := s.schedules[0]
	g.Expect(sc.announcementDue(s.now, s.state)).To(BeTrue())
	sc.announcedAt = s.now // the append was lost
	g.Expect(sc.announcementDue(s.now.Add(minAppendInterval/2), s.state)).To(BeFalse())
	g.Expect(sc.announcementDue(s.now.Add(minAppendInterval), s.state)).To(BeTrue())
	s.run(t, minAppendInterval+2*readDelay)
	g.Expect(s.state.Listed("entry-0", 1)).To(BeTrue())
	g.Expect(sc.announcementDue(s.now.Add(minAppendInterval), s.state)).To(BeFalse())
	s.append(t, logstate.Record{Type: logstate.TypeEntryAnnouncement, EntryAnnouncement: &logstate.EntryAnnouncement{Info: structs.EntryInfo{Name: "entry-0", Incarnation: 99}, StateOffset: 9}})
	s.now = s.now.Add(readDelay)
	s.deliver(t)
	g.Expect(sc.announcementDue(s.now.Add(time.Hour), s.state)).To(BeFalse(), "a later incarnation has announced itself")
}

// TestEntryExpiryDoesNotCountLogOutages: an entry that stops announcing itself
// expires after the TTL, of which time without a readable log is no part.
func TestEntryExpiryDoesNotCountLogOutages(t *testing.T) {
	g := NewWithT(t)
	l := newLiveness(time.Hour)
	announced := []logstate.AnnouncedEntry{{Info: structs.EntryInfo{Name: "entry-0"}, Offset: 3}}
	g.Expect(l.list(announced, 0)).To(HaveLen(1))
	g.Expect(l.list(announced, time.Hour)).To(HaveLen(1))
	g.Expect(l.list(announced, 0)).To(HaveLen(1), "time during a log outage does not count")
	g.Expect(l.list(announced, time.Second)).To(BeEmpty())
	announced[0].Offset = 9
	g.Expect(l.list(announced, time.Second)).To(HaveLen(1))
}

func TestDocumentsRevisionNeverDecreases(t *testing.T) {
	g := NewWithT(t)
	d := NewDocuments()
	const text = "service = 'booking'\nowner = 'booking-team'\n"
	rec := func(revision uint64, text string) structs.DocumentRecord {
		return structs.DocumentRecord{Service: "booking", Revision: revision, Text: text}
	}
	put := func(rec structs.DocumentRecord) bool {
		doc, err := d.Put(rec)
		return doc != nil && err == nil
	}
	g.Expect(put(rec(2, text))).To(BeTrue())
	g.Expect(put(rec(1, text))).To(BeFalse())
	g.Expect(put(rec(3, "service = 3"))).To(BeFalse(), "the text fails validation")
	g.Expect(put(rec(3, "service = 'faq'\nowner = 'a'\n"))).To(BeFalse(), "this revision has been refused before")
	g.Expect(put(rec(2, text))).To(BeFalse())
	inForce, _ := d.Get("booking")
	g.Expect(inForce.Revision).To(Equal(uint64(2)))
	g.Expect(put(rec(4, "service = 'faq'\nowner = 'a'\n"))).To(BeFalse(), "the text is for another service")
	g.Expect(put(rec(5, text))).To(BeTrue())
	g.Expect(d.refused).To(BeEmpty())
}
