package fold_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/chestnuthollow/chestnuthollow/fold"
	"github.com/chestnuthollow/chestnuthollow/platformlog"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const (
	modelProcesses = 4
	modelServices  = 2
)

// process is one reader, with what it has shown so far.
type process struct {
	run       structs.EntryInfo
	reader    fold.Replayer
	revisions map[string]uint64
	listed    map[string]structs.Incarnation // newest run seen of each entry
	held      *fold.State                    // as of the last check
	heldText  string
}

func newProcess(index int, run structs.Incarnation) *process {
	return &process{
		run:       structs.EntryInfo{Name: fmt.Sprintf("entry-%d", index), Incarnation: run},
		revisions: make(map[string]uint64),
		listed:    make(map[string]structs.Incarnation),
		held:      fold.New(),
		heldText:  string(fold.New().Encode()),
	}
}

// model is a log and its readers under faults. Readers that take no step are
// frozen; appends in flight may land late, twice or never.
type model struct {
	log       []([]byte) // every record ever appended
	earliest  uint64
	inFlight  [][]byte
	edits     []fold.Edit
	processes [modelProcesses]*process
	reference []*fold.State // by offset: the fold of all records before it
	outcomes  map[string]fold.Outcome
}

func newModel() *model {
	m := &model{reference: []*fold.State{fold.New()}, outcomes: make(map[string]fold.Outcome)}
	for i := range m.processes {
		m.processes[i] = newProcess(i, 1)
	}
	return m
}

func (m *model) append(data []byte) {
	next := m.reference[len(m.log)].Clone()
	_ = next.Apply(uint64(len(m.log)), data)
	m.log = append(m.log, data)
	m.reference = append(m.reference, next)
}

func encode(t *rapid.T, r fold.Record) []byte {
	data, err := fold.EncodeRecord(r)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func (m *model) pick(t *rapid.T) *process {
	return m.processes[rapid.IntRange(0, modelProcesses-1).Draw(t, "process")]
}

// publish sends an edit based on what one process knows.
func (m *model) publish(t *rapid.T) {
	p := m.pick(t)
	service := fmt.Sprintf("s%d", rapid.IntRange(1, modelServices).Draw(t, "service"))
	e := fold.Edit{ID: fmt.Sprintf("e%d", len(m.edits)), Service: service, Text: fmt.Sprintf("text %d", len(m.edits))}
	if f := p.reader.State(); f != nil {
		rec, _ := f.Document(service)
		e.Base = rec.Revision
	}
	m.edits = append(m.edits, e)
	m.inFlight = append(m.inFlight, encode(t, fold.Record{Type: fold.TypeEdit, Edit: &e}))
}

// publishAgain sends an edit a second time, as after a lost answer.
func (m *model) publishAgain(t *rapid.T) {
	if len(m.edits) == 0 {
		t.Skip("no edit")
	}
	e := rapid.SampledFrom(m.edits).Draw(t, "edit")
	m.inFlight = append(m.inFlight, encode(t, fold.Record{Type: fold.TypeEdit, Edit: &e}))
}

// checkpoint sends the fold of one process, however old it is by now.
func (m *model) checkpoint(t *rapid.T) {
	f := m.pick(t).reader.State()
	if f == nil || f.Next() == 0 {
		t.Skip("nothing to write")
	}
	m.inFlight = append(m.inFlight, encode(t, f.CheckpointRecord()))
}

// announce sends a process's announcement, as its fold stands.
func (m *model) announce(t *rapid.T) {
	p := m.pick(t)
	f := p.reader.State()
	if f == nil {
		t.Skip("knows nothing")
	}
	entry := &fold.EntryAnnouncement{Info: p.run, StateOffset: f.Next()}
	m.inFlight = append(m.inFlight, encode(t, fold.Record{Type: fold.TypeEntryAnnouncement, EntryAnnouncement: entry}))
}

// leave sends that a process has gone.
func (m *model) leave(t *rapid.T) {
	run := m.pick(t).run
	gone := &fold.EntryDeparture{Name: run.Name, Incarnation: run.Incarnation}
	m.inFlight = append(m.inFlight, encode(t, fold.Record{Type: fold.TypeEntryDeparture, EntryDeparture: gone}))
}

// land lets an append in flight take effect; lose drops it.
func (m *model) land(t *rapid.T) { m.append(m.takeInFlight(t)) }
func (m *model) lose(t *rapid.T) { m.takeInFlight(t) }

func (m *model) takeInFlight(t *rapid.T) []byte {
	if len(m.inFlight) == 0 {
		t.Skip("nothing in flight")
	}
	i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "in flight")
	data := m.inFlight[i]
	m.inFlight = append(m.inFlight[:i:i], m.inFlight[i+1:]...)
	return data
}

func (m *model) garbage(*rapid.T) { m.append([]byte(`{"type":"newer"}`)) }

func (m *model) retention(t *rapid.T) {
	m.earliest = rapid.Uint64Range(m.earliest, uint64(len(m.log))).Draw(t, "earliest")
}

// read lets one process read up to a few records.
func (m *model) read(t *rapid.T) {
	p := m.pick(t)
	m.readUpTo(t, p, rapid.IntRange(0, 5).Draw(t, "records"))
}

func (m *model) readUpTo(t *rapid.T, p *process, n int) {
	from := p.reader.Offset()
	if from < m.earliest {
		p.reader.Truncated(m.earliest)
		return
	}
	var records []platformlog.Record
	for o := from; o < uint64(len(m.log)) && len(records) < n; o++ {
		records = append(records, platformlog.Record{Offset: o, Data: m.log[o]})
	}
	_ = p.reader.Apply(records)
}

// takeFromPeer hands a process the fold of another one.
func (m *model) takeFromPeer(t *rapid.T) {
	p, peer := m.pick(t), m.pick(t)
	if peer.reader.State() == nil {
		t.Skip("the peer has none")
	}
	f, err := fold.Decode(peer.reader.State().Encode())
	if err != nil {
		t.Fatal(err)
	}
	p.reader.Install(f)
}

// replace starts a process anew.
func (m *model) replace(t *rapid.T) {
	i := rapid.IntRange(0, modelProcesses-1).Draw(t, "process")
	m.processes[i] = newProcess(i, m.processes[i].run.Incarnation+1)
}

func (m *model) check(t *rapid.T) {
	for i, p := range m.processes {
		f := p.reader.State()
		if f == nil {
			continue
		}
		if f.Next() < p.held.Next() {
			t.Fatalf("process %d: the fold went back from offset %d to %d", i, p.held.Next(), f.Next())
		}
		if string(p.held.Encode()) != p.heldText {
			t.Fatalf("process %d: a fold that was handed out has changed", i)
		}
		p.held, p.heldText = f, string(f.Encode())
		if got, want := string(f.Encode()), string(m.reference[f.Next()].Encode()); got != want {
			t.Fatalf("process %d: fold at offset %d is\n%s\nwant\n%s", i, f.Next(), got, want)
		}
		m.checkRevisions(t, i, p)
		m.checkEntries(t, i, p)
		m.checkOutcomes(t, f)
	}
}

// checkEntries: a run that made way for a later one is never listed again, and
// a late announcement of a former run does not replace the later one.
func (m *model) checkEntries(t *rapid.T, i int, p *process) {
	for _, e := range p.reader.State().Entries() {
		if e.Info.Incarnation < p.listed[e.Info.Name] {
			t.Fatalf("process %d lists run %s of %s after run %s", i, e.Info.Incarnation, e.Info.Name, p.listed[e.Info.Name])
		}
		p.listed[e.Info.Name] = e.Info.Incarnation
	}
}

func (m *model) checkRevisions(t *rapid.T, i int, p *process) {
	for _, rec := range p.reader.State().Documents() {
		if rec.Revision < p.revisions[rec.Service] {
			t.Fatalf("process %d: %s went back from revision %d to %d", i, rec.Service, p.revisions[rec.Service], rec.Revision)
		}
		p.revisions[rec.Service] = rec.Revision
	}
}

// checkOutcomes compares with the rule itself: the first record of an edit
// decides, and of each base one edit at most is accepted.
func (m *model) checkOutcomes(t *rapid.T, f *fold.State) {
	for _, e := range m.edits {
		out, found := f.Outcome(e.ID)
		if !found {
			continue
		}
		if before, seen := m.outcomes[e.ID]; seen && before != out {
			t.Fatalf("edit %s: outcome %+v, was %+v", e.ID, out, before)
		}
		m.outcomes[e.ID] = out
		if out.Rejected == "" && out.Revision != e.Base+1 {
			t.Fatalf("edit %s on revision %d made revision %d", e.ID, e.Base, out.Revision)
		}
	}
	winners := make(map[string]string)
	for id, out := range m.outcomes {
		key := fmt.Sprintf("%s/%d", out.Service, out.Revision)
		if other, taken := winners[key]; taken && out.Rejected == "" {
			t.Fatalf("edits %s and %s both made %s", id, other, key)
		}
		if out.Rejected == "" {
			winners[key] = id
		}
	}
}

func TestReadersAgreeUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"":             m.check,
			"publish":      m.publish,
			"publishAgain": m.publishAgain,
			"announce":     m.announce,
			"leave":        m.leave,
			"checkpoint":   m.checkpoint,
			"land":         m.land,
			"land2":        m.land,
			"lose":         m.lose,
			"garbage":      m.garbage,
			"retention":    m.retention,
			"read":         m.read,
			"read2":        m.read,
			"takeFromPeer": m.takeFromPeer,
			"replace":      m.replace,
		})
		m.checkAllCatchUp(t)
	})
}

// checkAllCatchUp: after a checkpoint at the end, every process reaches the
// last fold, whatever it had missed.
func (m *model) checkAllCatchUp(t *rapid.T) {
	if len(m.log) == 0 {
		return
	}
	m.append(encode(t, m.reference[len(m.log)].CheckpointRecord()))
	for i, p := range m.processes {
		for range len(m.log) + 2 {
			m.readUpTo(t, p, 5)
			m.check(t)
		}
		if p.reader.State() == nil || p.reader.State().Next() != uint64(len(m.log)) {
			t.Fatalf("process %d stands at offset %d of %d", i, p.reader.Offset(), len(m.log))
		}
	}
}
