package fold_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/chestnuthollow/chestnuthollow/fold"
	"github.com/chestnuthollow/chestnuthollow/platformlog"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

var published = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)

func editRecord(id, service string, base uint64, text string) fold.Record {
	return fold.Record{Type: fold.TypeEdit, Edit: &fold.Edit{
		ID: id, Service: service, Base: base, Text: text, Published: published,
	}}
}

func entryRecord(name string, run structs.Incarnation, seen uint64) fold.Record {
	info := structs.EntryInfo{Name: name, Incarnation: run, Zone: "zone-a", Region: "region", RPCAddr: "10.0.0.1:7000", HTTPAddr: "10.0.0.1:8000"}
	return fold.Record{Type: fold.TypeEntryAnnouncement, EntryAnnouncement: &fold.EntryAnnouncement{Info: info, StateOffset: seen}}
}

func goneRecord(name string, run structs.Incarnation) fold.Record {
	return fold.Record{Type: fold.TypeEntryDeparture, EntryDeparture: &fold.EntryDeparture{Name: name, Incarnation: run}}
}

// apply folds in a record at the end.
func apply(t *testing.T, f *fold.State, r fold.Record) []byte {
	t.Helper()
	data, err := fold.EncodeRecord(r)
	if err == nil {
		err = f.Apply(f.Next(), data)
	}
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return data
}

// TestSession compares a whole session of the log with its golden file: every
// record and the fold after it.
func TestSession(t *testing.T) {
	const text = "service = 'booking'\nowner = 'booking-team'\n"
	f := fold.New()
	var b strings.Builder
	write := func(data []byte, err error) {
		fmt.Fprintf(&b, "%d %s\n", f.Next()-1, data)
		if err != nil {
			fmt.Fprintf(&b, "  ignored: %v\n", err)
		}
	}
	session := []fold.Record{
		entryRecord("entry-a", 1, 0),
		entryRecord("entry-b", 2, 0),
		editRecord("edit-1", "booking", 0, text),
		editRecord("edit-2", "booking", 1, text+"[limits]\nqueue = 3\n"),
		editRecord("edit-3", "booking", 1, text+"[limits]\nqueue = 4\n"), // loses the race
		editRecord("edit-2", "booking", 1, text+"[limits]\nqueue = 3\n"), // appended twice
		editRecord("edit-4", "faq", 0, "service = 'faq'\nowner = 'faq-team'\n"),
		goneRecord("entry-b", 2),
		entryRecord("entry-b", 3, 8),
		entryRecord("entry-b", 2, 9), // a late one of the former run
		{Type: "reserved_for_later"},
	}
	for _, r := range session {
		data, err := fold.EncodeRecord(r)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		write(data, f.Apply(f.Next(), data))
	}
	data := apply(t, f, f.CheckpointRecord())
	write(data, nil)
	state, err := json.MarshalIndent(json.RawMessage(f.Encode()), "", "  ")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	fmt.Fprintf(&b, "fold %s\n", state)
	goldie.New(t).Assert(t, "session", []byte(b.String()))
}

func TestApplyWantsTheNextOffset(t *testing.T) {
	g := NewWithT(t)
	f := fold.New()
	g.Expect(f.Apply(1, []byte("{}"))).To(MatchError(fold.ErrOffset))
	g.Expect(f.Next()).To(BeZero())
}

func TestSupersededRunIsNotListedAgain(t *testing.T) {
	g := NewWithT(t)
	f := fold.New()
	apply(t, f, entryRecord("entry-a", 1, 0))
	apply(t, f, entryRecord("entry-a", 2, 1))
	g.Expect(f.Superseded("entry-a", 1)).To(BeTrue())
	apply(t, f, entryRecord("entry-a", 1, 2)) // thawed, and knows of the other
	g.Expect(f.Listed("entry-a", 2)).To(BeTrue())
	apply(t, f, goneRecord("entry-a", 1))
	g.Expect(f.Entries()).To(HaveLen(1))
}

func TestLateFirstAnnouncementDoesNotReplaceTheSuccessor(t *testing.T) {
	g := NewWithT(t)
	f := fold.New()
	apply(t, f, entryRecord("entry-a", 2, 0))
	apply(t, f, entryRecord("entry-a", 1, 0)) // of the dead predecessor, slow to land
	g.Expect(f.Listed("entry-a", 2)).To(BeTrue())
	g.Expect(f.Superseded("entry-a", 2)).To(BeFalse())
}

func TestFoldIsBounded(t *testing.T) {
	g := NewWithT(t)
	f := fold.New()
	text := strings.Repeat("x", fold.MaxTextBytes-len(`""`))
	for i := range uint64(3 * fold.MaxOutcomes) {
		apply(t, f, entryRecord(fmt.Sprintf("entry-%d", i), structs.Incarnation(i+1), 0))
		apply(t, f, editRecord(fmt.Sprintf("edit-%d", i), fmt.Sprintf("service-%d", i), 0, "x"))
		apply(t, f, editRecord(fmt.Sprintf("again-%d", i), "service-0", i+1, text))
	}
	g.Expect(f.Entries()).To(HaveLen(fold.MaxEntries))
	g.Expect(f.Documents()).To(HaveLen(fold.MaxServices))
	g.Expect(len(f.History("service-0"))).To(BeNumerically("<=", 1+fold.MaxHistoryBytes/fold.MaxTextBytes))
	apply(t, f, editRecord("large", "service-0", 3*fold.MaxOutcomes+1, text+"x"))
	out, _ := f.Outcome("large")
	g.Expect(out.Rejected).To(Equal(fold.ReasonTooLarge))
	g.Expect(len(f.Encode())).To(BeNumerically("<", platformlog.MaxRecordBytes))
}

// TestLargestFoldFitsARecord: a checkpoint of a fold whose every part is at
// its bound still is one record of the log.
func TestLargestFoldFitsARecord(t *testing.T) {
	g := NewWithT(t)
	f := fold.New()
	text := strings.Repeat("\n", fold.MaxTextBytes/2-1)
	small := strings.Repeat("\n", fold.MaxHistoryBytes/fold.MaxHistory/2-1)
	name := strings.Repeat("n", fold.MaxNameBytes-10)
	for i := range fold.MaxServices {
		service := fmt.Sprintf("%s-%d", name, i)
		for base := range uint64(fold.MaxHistory) {
			apply(t, f, editRecord(fmt.Sprintf("%s-%d", service, base), service, base, small))
		}
		apply(t, f, editRecord(service, service, fold.MaxHistory, text))
		g.Expect(f.History(service)).To(HaveLen(1 + fold.MaxHistory))
	}
	data, err := fold.EncodeRecord(f.CheckpointRecord())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(data)).To(BeNumerically("<=", platformlog.MaxRecordBytes))
}

// FuzzRecord: whatever a record holds, a fold takes it in, and its encoding
// stands for the same fold.
func FuzzRecord(f *testing.F) {
	for _, r := range []fold.Record{editRecord("e", "s", 0, "x"), entryRecord("a", 1, 0), goneRecord("a", 1), fold.New().CheckpointRecord()} {
		data, err := fold.EncodeRecord(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		state := fold.New()
		for offset := range uint64(2) {
			err := state.Apply(offset, data)
			if err != nil && !errors.Is(err, fold.ErrMalformed) && !errors.Is(err, fold.ErrUnknownType) {
				t.Fatal(err)
			}
		}
		encoded := state.Encode()
		decoded, err := fold.Decode(encoded)
		if err != nil {
			t.Fatal(err)
		}
		if string(decoded.Encode()) != string(encoded) {
			t.Fatalf("%s\nbecame\n%s", encoded, decoded.Encode())
		}
	})
}
