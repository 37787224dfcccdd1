package logstate_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/chestnuthollow/chestnuthollow/logstate"
	"github.com/chestnuthollow/chestnuthollow/platformlog"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const (
	modelProcesses = 4
	modelServices  = 2
)

// process is one reader of the log, with what the checks have observed of it.
type process struct {
	self        structs.EntryInfo
	replayer    logstate.Replayer
	revisions   map[string]uint64              // newest revision observed of each service
	listed      map[string]structs.Incarnation // newest incarnation observed of each entry
	lastState   *logstate.State                // as of the last check
	lastEncoded string
}

func newProcess(index int, incarnation structs.Incarnation) *process {
	return &process{
		self:        structs.EntryInfo{Name: fmt.Sprintf("entry-%d", index), Incarnation: incarnation},
		revisions:   make(map[string]uint64),
		listed:      make(map[string]structs.Incarnation),
		lastState:   logstate.New(),
		lastEncoded: string(logstate.New().Encode()),
	}
}

// model simulates a log and its readers under faults. A reader that takes no
// step stands for a paused process; an append in flight may take effect late or
// never.
type model struct {
	log       []([]byte) // every record ever appended, truncated ones included
	earliest  uint64
	inFlight  [][]byte
	edits     []logstate.Edit
	processes [modelProcesses]*process
	reference []*logstate.State // by offset: the state after all records before it
	outcomes  map[string]logstate.Outcome
}

func newModel() *model {
	m := &model{reference: []*logstate.State{logstate.New()}, outcomes: make(map[string]logstate.Outcome)}
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

func encode(t *rapid.T, r logstate.Record) []byte {
	data, err := logstate.EncodeRecord(r)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func (m *model) pick(t *rapid.T) *process {
	return m.processes[rapid.IntRange(0, modelProcesses-1).Draw(t, "process")]
}

// publish starts the append of an edit based on the state of one process.
func (m *model) publish(t *rapid.T) {
	p := m.pick(t)
	service := fmt.Sprintf("s%d", rapid.IntRange(1, modelServices).Draw(t, "service"))
	e := logstate.Edit{ID: fmt.Sprintf("e%d", len(m.edits)), Service: service, Text: fmt.Sprintf("text %d", len(m.edits))}
	if s := p.replayer.State(); s != nil {
		rec, _ := s.Document(service)
		e.Base = rec.Revision
	}
	m.edits = append(m.edits, e)
	m.inFlight = append(m.inFlight, encode(t, logstate.Record{Type: logstate.TypeEdit, Edit: &e}))
}

// publishAgain appends an edit a second time, as after a lost reply.
func (m *model) publishAgain(t *rapid.T) {
	if len(m.edits) == 0 {
		t.Skip("no edit published yet")
	}
	e := rapid.SampledFrom(m.edits).Draw(t, "edit")
	m.inFlight = append(m.inFlight, encode(t, logstate.Record{Type: logstate.TypeEdit, Edit: &e}))
}

// checkpoint starts the append of a checkpoint of one process's state, however
// outdated that is.
func (m *model) checkpoint(t *rapid.T) {
	s := m.pick(t).replayer.State()
	if s == nil || s.Next() == 0 {
		t.Skip("no state to write")
	}
	m.inFlight = append(m.inFlight, encode(t, s.CheckpointRecord()))
}

// announce starts the append of a process's announcement.
func (m *model) announce(t *rapid.T) {
	p := m.pick(t)
	s := p.replayer.State()
	if s == nil {
		t.Skip("process has no state yet")
	}
	entry := &logstate.EntryAnnouncement{Info: p.self, StateOffset: s.Next()}
	m.inFlight = append(m.inFlight, encode(t, logstate.Record{Type: logstate.TypeEntryAnnouncement, EntryAnnouncement: entry}))
}

// leave starts the append of a process's departure.
func (m *model) leave(t *rapid.T) {
	self := m.pick(t).self
	departure := &logstate.EntryDeparture{Name: self.Name, Incarnation: self.Incarnation}
	m.inFlight = append(m.inFlight, encode(t, logstate.Record{Type: logstate.TypeEntryDeparture, EntryDeparture: departure}))
}

// completeAppend lets an append in flight take effect; loseAppend drops one.
func (m *model) completeAppend(t *rapid.T) { m.append(m.removeInFlight(t)) }
func (m *model) loseAppend(t *rapid.T)     { m.removeInFlight(t) }

func (m *model) removeInFlight(t *rapid.T) []byte {
	if len(m.inFlight) == 0 {
		t.Skip("nothing in flight")
	}
	i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "in flight")
	data := m.inFlight[i]
	m.inFlight = append(m.inFlight[:i:i], m.inFlight[i+1:]...)
	return data
}

// unknownRecord appends a record as a newer version of the program might.
func (m *model) unknownRecord(*rapid.T) { m.append([]byte(`{"type":"newer"}`)) }

// truncate makes the log drop its oldest records.
func (m *model) truncate(t *rapid.T) {
	m.earliest = rapid.Uint64Range(m.earliest, uint64(len(m.log))).Draw(t, "earliest")
}

// read lets one process read at most 5 records.
func (m *model) read(t *rapid.T) {
	p := m.pick(t)
	m.readUpTo(t, p, rapid.IntRange(0, 5).Draw(t, "records"))
}

func (m *model) readUpTo(t *rapid.T, p *process, n int) {
	from := p.replayer.Offset()
	if from < m.earliest {
		p.replayer.Truncated(m.earliest)
		return
	}
	var records []platformlog.Record
	for o := from; o < uint64(len(m.log)) && len(records) < n; o++ {
		records = append(records, platformlog.Record{Offset: o, Data: m.log[o]})
	}
	_ = p.replayer.Apply(records)
}

// installFromPeer offers one process the state of another.
func (m *model) installFromPeer(t *rapid.T) {
	p, peer := m.pick(t), m.pick(t)
	if peer.replayer.State() == nil {
		t.Skip("the peer has no state yet")
	}
	s, err := logstate.Decode(peer.replayer.State().Encode())
	if err != nil {
		t.Fatal(err)
	}
	p.replayer.Install(s)
}

// restart replaces a process by its next incarnation, without any state.
func (m *model) restart(t *rapid.T) {
	i := rapid.IntRange(0, modelProcesses-1).Draw(t, "process")
	m.processes[i] = newProcess(i, m.processes[i].self.Incarnation+1)
}

func (m *model) check(t *rapid.T) {
	for i, p := range m.processes {
		s := p.replayer.State()
		if s == nil {
			continue
		}
		if s.Next() < p.lastState.Next() {
			t.Fatalf("process %d: the state went back from offset %d to %d", i, p.lastState.Next(), s.Next())
		}
		if string(p.lastState.Encode()) != p.lastEncoded {
			t.Fatalf("process %d: a state returned earlier has been modified", i)
		}
		p.lastState, p.lastEncoded = s, string(s.Encode())
		if got, want := string(s.Encode()), string(m.reference[s.Next()].Encode()); got != want {
			t.Fatalf("process %d: state at offset %d is\n%s\nwant\n%s", i, s.Next(), got, want)
		}
		m.checkRevisions(t, i, p)
		m.checkEntries(t, i, p)
		m.checkOutcomes(t, s)
	}
}

// checkEntries checks that a superseded incarnation is never listed again and
// that a late announcement of a former incarnation does not replace a later one.
func (m *model) checkEntries(t *rapid.T, i int, p *process) {
	for _, e := range p.replayer.State().Entries() {
		if e.Info.Incarnation < p.listed[e.Info.Name] {
			t.Fatalf("process %d lists incarnation %s of %s after incarnation %s", i, e.Info.Incarnation, e.Info.Name, p.listed[e.Info.Name])
		}
		p.listed[e.Info.Name] = e.Info.Incarnation
	}
}

// checkRevisions checks that no service goes back to an earlier revision.
func (m *model) checkRevisions(t *rapid.T, i int, p *process) {
	for _, rec := range p.replayer.State().Documents() {
		if rec.Revision < p.revisions[rec.Service] {
			t.Fatalf("process %d: service %s went back from revision %d to %d", i, rec.Service, p.revisions[rec.Service], rec.Revision)
		}
		p.revisions[rec.Service] = rec.Revision
	}
}

// checkOutcomes checks the compare-and-set rule: the first record of an edit
// decides its outcome, and at most one edit per base revision is accepted.
func (m *model) checkOutcomes(t *rapid.T, s *logstate.State) {
	for _, e := range m.edits {
		out, found := s.Outcome(e.ID)
		if !found {
			continue
		}
		if before, seen := m.outcomes[e.ID]; seen && before != out {
			t.Fatalf("edit %s: outcome is %+v, was %+v", e.ID, out, before)
		}
		m.outcomes[e.ID] = out
		if out.Rejected == "" && out.Revision != e.Base+1 {
			t.Fatalf("edit %s with base revision %d created revision %d", e.ID, e.Base, out.Revision)
		}
	}
	winners := make(map[string]string)
	for id, out := range m.outcomes {
		key := fmt.Sprintf("%s/%d", out.Service, out.Revision)
		if other, won := winners[key]; won && out.Rejected == "" {
			t.Fatalf("edits %s and %s both created %s", id, other, key)
		}
		if out.Rejected == "" {
			winners[key] = id
		}
	}
}

// TestReadersAgreeUnderFaults: readers that reach the same offset must have the
// same state, whatever appends are delayed, repeated or lost, and whether they
// replayed the log, started from a checkpoint or installed a peer's state.
func TestReadersAgreeUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"":                m.check,
			"publish":         m.publish,
			"publishAgain":    m.publishAgain,
			"announce":        m.announce,
			"leave":           m.leave,
			"checkpoint":      m.checkpoint,
			"completeAppend":  m.completeAppend,
			"completeAppend2": m.completeAppend, // twice as likely
			"loseAppend":      m.loseAppend,
			"unknownRecord":   m.unknownRecord,
			"truncate":        m.truncate,
			"read":            m.read,
			"read2":           m.read, // twice as likely
			"installFromPeer": m.installFromPeer,
			"restart":         m.restart,
		})
		m.checkAllCatchUp(t)
	})
}

// checkAllCatchUp checks that every process reaches the final state once a
// checkpoint is appended at the end, whatever records it has missed.
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
		if p.replayer.State() == nil || p.replayer.State().Next() != uint64(len(m.log)) {
			t.Fatalf("process %d has read up to offset %d of %d", i, p.replayer.Offset(), len(m.log))
		}
	}
}
