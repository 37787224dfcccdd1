package follow

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/fold"
	"github.com/chestnuthollow/chestnuthollow/platformlog"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const (
	// targetEntries is the number of entries that appends are counted for.
	targetEntries = 12
	day           = 24 * time.Hour
	// readLag is how far a simulated reader is behind the log.
	readLag = 2 * time.Second
)

// pending is an append that readers do not see yet.
type pending struct {
	at   time.Time
	data []byte
}

// simulation runs the schedules of several entries against one fold.
type simulation struct {
	now       time.Time
	random    *rand.Rand
	schedules []*schedule
	state     *fold.State
	unseen    []pending
	counts    map[fold.RecordType]int
}

func newSimulation(t *testing.T, entries int, seed uint64) *simulation {
	t.Helper()
	s := &simulation{
		now:    time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC),
		random: rand.New(rand.NewPCG(seed, seed)),
		state:  fold.New(),
		counts: make(map[fold.RecordType]int),
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

// run lets d pass; the records of extra are appended evenly over its first half.
func (s *simulation) run(t *testing.T, d time.Duration, extra ...fold.Record) {
	t.Helper()
	start, end, sent := s.now, s.now.Add(d), 0
	for ; s.now.Before(end); s.now = s.now.Add(time.Second) {
		s.deliver(t)
		for _, sc := range s.schedules {
			s.upkeep(t, sc)
		}
		for due := 2 * s.now.Sub(start).Seconds() / d.Seconds() * float64(len(extra)); sent < len(extra) && float64(sent) <= due; sent++ {
			s.append(t, extra[sent])
		}
	}
}

func (s *simulation) upkeep(t *testing.T, sc *schedule) {
	if sc.wantsAnnouncement(s.now, s.state) {
		sc.announcedAt = s.now
		s.append(t, fold.Record{Type: fold.TypeEntryAnnouncement, EntryAnnouncement: &fold.EntryAnnouncement{Info: sc.opts.Self, StateOffset: s.state.Next()}})
	}
	if sc.wantsCheckpoint(s.now, s.state, s.random.Float64()) {
		sc.checkpointAt = s.now
		s.append(t, s.state.CheckpointRecord())
	}
}

func (s *simulation) append(t *testing.T, r fold.Record) {
	t.Helper()
	data, err := fold.EncodeRecord(r)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	s.counts[r.Type]++
	s.unseen = append(s.unseen, pending{at: s.now.Add(readLag), data: data})
}

func (s *simulation) deliver(t *testing.T) {
	for len(s.unseen) > 0 && !s.unseen[0].at.After(s.now) {
		NewWithT(t).Expect(s.state.Apply(s.state.Next(), s.unseen[0].data)).To(Succeed())
		s.unseen = s.unseen[1:]
	}
}

// TestAppendsPerHour counts the appends of the letter's target: they follow
// from the intervals, with a checkpoint written by one or two processes though
// none is elected.
func TestAppendsPerHour(t *testing.T) {
	for seed := range uint64(3) {
		g := NewWithT(t)
		s := newSimulation(t, targetEntries, seed)
		s.run(t, day)
		announcements := float64(s.counts[fold.TypeEntryAnnouncement]) / day.Hours()
		checkpoints := float64(s.counts[fold.TypeCheckpoint]) / day.Hours()
		t.Logf("seed %d, %d entries: %.1f announcements and %.1f checkpoints an hour", seed, targetEntries, announcements, checkpoints)
		g.Expect(announcements).To(BeNumerically("~", targetEntries*float64(time.Hour/DefaultAnnounceInterval), targetEntries))
		shortest := float64(time.Hour / DefaultCheckpointInterval)
		g.Expect(checkpoints).To(BeNumerically(">=", shortest/2))
		g.Expect(checkpoints).To(BeNumerically("<=", 2*shortest))
	}
}

// TestManyRecordsMakeACheckpointDueEarly: a burst of edits is soon covered.
func TestManyRecordsMakeACheckpointDueEarly(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(t, targetEntries, 1)
	s.run(t, time.Minute)
	edits := make([]fold.Record, DefaultCheckpointRecords+targetEntries)
	for i := range edits {
		edits[i] = fold.Record{Type: fold.TypeEdit, Edit: &fold.Edit{ID: fmt.Sprintf("e%d", i), Service: "booking", Base: uint64(i), Text: "x"}}
	}
	s.run(t, 4*time.Minute, edits...)
	g.Expect(s.counts[fold.TypeCheckpoint]).To(And(BeNumerically(">=", 1), BeNumerically("<=", targetEntries/2)))
	g.Expect(s.state.SinceCheckpoint()).To(BeNumerically("<", DefaultCheckpointRecords))
}

// TestForgetfulLogGetsCheckpointsInTime: a log that keeps few records holds a
// usable checkpoint all the same.
func TestForgetfulLogGetsCheckpointsInTime(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(t, 2, 1)
	for _, sc := range s.schedules {
		sc.kept = 40
	}
	edits := make([]fold.Record, 30)
	for i := range edits {
		edits[i] = fold.Record{Type: fold.TypeEdit, Edit: &fold.Edit{ID: fmt.Sprintf("e%d", i), Service: "booking", Base: uint64(i), Text: "x"}}
	}
	s.run(t, 3*time.Minute, edits...)
	g.Expect(s.state.SinceCheckpoint()).To(BeNumerically("<", 20))
}

func TestRunAnnouncesItselfUntilListed(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(t, 1, 1)
	sc := s.schedules[0]
	g.Expect(sc.wantsAnnouncement(s.now, s.state)).To(BeTrue())
	sc.announcedAt = s.now // and the append was lost
	g.Expect(sc.wantsAnnouncement(s.now.Add(appendSpacing/2), s.state)).To(BeFalse())
	g.Expect(sc.wantsAnnouncement(s.now.Add(appendSpacing), s.state)).To(BeTrue())
	s.run(t, appendSpacing+2*readLag)
	g.Expect(s.state.Listed("entry-0", 1)).To(BeTrue())
	g.Expect(sc.wantsAnnouncement(s.now.Add(appendSpacing), s.state)).To(BeFalse())
	s.append(t, fold.Record{Type: fold.TypeEntryAnnouncement, EntryAnnouncement: &fold.EntryAnnouncement{Info: structs.EntryInfo{Name: "entry-0", Incarnation: 99}, StateOffset: 9}})
	s.now = s.now.Add(readLag)
	s.deliver(t)
	g.Expect(sc.wantsAnnouncement(s.now.Add(time.Hour), s.state)).To(BeFalse(), "a later run has taken over")
}

func TestSilentEntryRunsOutInTimeWithAWorkingLogOnly(t *testing.T) {
	g := NewWithT(t)
	l := newLiveness(time.Hour)
	announced := []fold.AnnouncedEntry{{Info: structs.EntryInfo{Name: "entry-0"}, Offset: 3}}
	g.Expect(l.list(announced, 0)).To(HaveLen(1))
	g.Expect(l.list(announced, time.Hour)).To(HaveLen(1))
	g.Expect(l.list(announced, 0)).To(HaveLen(1), "an outage does not count")
	g.Expect(l.list(announced, time.Second)).To(BeEmpty())
	announced[0].Offset = 9
	g.Expect(l.list(announced, time.Second)).To(HaveLen(1))
}

func TestRegisterNeverGoesBack(t *testing.T) {
	g := NewWithT(t)
	r := NewRegister()
	const text = "service = 'booking'\nowner = 'booking-team'\n"
	rec := func(revision uint64, text string) structs.DocumentRecord {
		return structs.DocumentRecord{Service: "booking", Revision: revision, Text: text}
	}
	put := func(rec structs.DocumentRecord) bool {
		doc, err := r.Put(rec)
		return doc != nil && err == nil
	}
	g.Expect(put(rec(2, text))).To(BeTrue())
	g.Expect(put(rec(1, text))).To(BeFalse())
	g.Expect(put(rec(3, "service = 3"))).To(BeFalse(), "it fails the checks")
	g.Expect(put(rec(3, "service = 'faq'\nowner = 'a'\n"))).To(BeFalse(), "refused once")
	g.Expect(put(rec(2, text))).To(BeFalse())
	in, _ := r.Get("booking")
	g.Expect(in.Revision).To(Equal(uint64(2)))
	g.Expect(put(rec(4, "service = 'faq'\nowner = 'a'\n"))).To(BeFalse(), "it is another service's")
	g.Expect(put(rec(5, text))).To(BeTrue())
	g.Expect(r.refused).To(BeEmpty())
}
