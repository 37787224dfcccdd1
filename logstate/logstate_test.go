package logstate_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/chestnuthollow/chestnuthollow/logstate"
	"github.com/chestnuthollow/chestnuthollow/platformlog"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

var published = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)

func editRecord(id, service string, base uint64, text string) logstate.Record {
	return logstate.Record{Type: logstate.TypeEdit, Edit: &logstate.Edit{
		ID: id, Service: service, Base: base, Text: text, Published: published,
	}}
}

func announcementRecord(name string, incarnation structs.Incarnation, stateOffset uint64) logstate.Record {
	info := structs.EntryInfo{Name: name, Incarnation: incarnation, Zone: "zone-a", Region: "region", RPCAddr: "10.0.0.1:7000", HTTPAddr: "10.0.0.1:8000"}
	return logstate.Record{Type: logstate.TypeEntryAnnouncement, EntryAnnouncement: &logstate.EntryAnnouncement{Info: info, StateOffset: stateOffset}}
}

func departureRecord(name string, incarnation structs.Incarnation) logstate.Record {
	return logstate.Record{Type: logstate.TypeEntryDeparture, EntryDeparture: &logstate.EntryDeparture{Name: name, Incarnation: incarnation}}
}

// apply applies a record at the next offset and returns its encoding.
func apply(t *testing.T, s *logstate.State, r logstate.Record) []byte {
	t.Helper()
	data, err := logstate.EncodeRecord(r)
	if err == nil {
		err = s.Apply(s.Next(), data)
	}
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return data
}

// TestReplayMatchesGoldenFile guards the encoding of records and of the state:
// it compares each record of a sample log and the final state with the golden
// file.
func TestReplayMatchesGoldenFile(t *testing.T) {
	const text = "service = 'booking'\nowner = 'booking-team'\n"
	s := logstate.New()
	var b strings.Builder
	write := func(data []byte, err error) {
		fmt.Fprintf(&b, "%d %s\n", s.Next()-1, data)
		if err != nil {
			fmt.Fprintf(&b, "  ignored: %v\n", err)
		}
	}
	records := []logstate.Record{
		announcementRecord("entry-a", 1, 0),
		announcementRecord("entry-b", 2, 0),
		editRecord("edit-1", "booking", 0, text),
		editRecord("edit-2", "booking", 1, text+"[limits]\nqueue = 3\n"),
		editRecord("edit-3", "booking", 1, text+"[limits]\nqueue = 4\n"), // conflict: edit-2 has replaced the base
		editRecord("edit-2", "booking", 1, text+"[limits]\nqueue = 3\n"), // duplicate append
		editRecord("edit-4", "faq", 0, "service = 'faq'\nowner = 'faq-team'\n"),
		departureRecord("entry-b", 2),
		announcementRecord("entry-b", 3, 8),
		announcementRecord("entry-b", 2, 9), // late announcement of the former incarnation
		{Type: "reserved_for_later"},
	}
	for _, r := range records {
		data, err := logstate.EncodeRecord(r)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		write(data, s.Apply(s.Next(), data))
	}
	data := apply(t, s, s.CheckpointRecord())
	write(data, nil)
	state, err := json.MarshalIndent(json.RawMessage(s.Encode()), "", "  ")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	fmt.Fprintf(&b, "state %s\n", state)
	goldie.New(t).Assert(t, "replay", []byte(b.String()))
}

func TestApplyRejectsWrongOffset(t *testing.T) {
	g := NewWithT(t)
	s := logstate.New()
	g.Expect(s.Apply(1, []byte("{}"))).To(MatchError(logstate.ErrOffset))
	g.Expect(s.Next()).To(BeZero())
}

// TestSupersededIncarnationIsNotListedAgain: an entry process that was paused
// while its successor started must not replace it when it resumes, even though
// it has read the successor's announcement by then.
func TestSupersededIncarnationIsNotListedAgain(t *testing.T) {
	g := NewWithT(t)
	s := logstate.New()
	apply(t, s, announcementRecord("entry-a", 1, 0))
	apply(t, s, announcementRecord("entry-a", 2, 1))
	g.Expect(s.Superseded("entry-a", 1)).To(BeTrue())
	apply(t, s, announcementRecord("entry-a", 1, 2)) // resumed after a pause; has read the other announcement
	g.Expect(s.Listed("entry-a", 2)).To(BeTrue())
	apply(t, s, departureRecord("entry-a", 1))
	g.Expect(s.Entries()).To(HaveLen(1))
}

// TestLateFirstAnnouncementDoesNotReplaceSuccessor: the only announcement of a
// crashed incarnation may be appended after that of its successor, and must not
// replace it.
func TestLateFirstAnnouncementDoesNotReplaceSuccessor(t *testing.T) {
	g := NewWithT(t)
	s := logstate.New()
	apply(t, s, announcementRecord("entry-a", 2, 0))
	apply(t, s, announcementRecord("entry-a", 1, 0)) // of the crashed predecessor, appended late
	g.Expect(s.Listed("entry-a", 2)).To(BeTrue())
	g.Expect(s.Superseded("entry-a", 2)).To(BeFalse())
}

func TestStateSizeIsBounded(t *testing.T) {
	g := NewWithT(t)
	s := logstate.New()
	text := strings.Repeat("x", logstate.MaxTextBytes-len(`""`))
	for i := range uint64(3 * logstate.MaxOutcomes) {
		apply(t, s, announcementRecord(fmt.Sprintf("entry-%d", i), structs.Incarnation(i+1), 0))
		apply(t, s, editRecord(fmt.Sprintf("edit-%d", i), fmt.Sprintf("service-%d", i), 0, "x"))
		apply(t, s, editRecord(fmt.Sprintf("history-%d", i), "service-0", i+1, text))
	}
	g.Expect(s.Entries()).To(HaveLen(logstate.MaxEntries))
	g.Expect(s.Documents()).To(HaveLen(logstate.MaxServices))
	g.Expect(len(s.History("service-0"))).To(BeNumerically("<=", 1+logstate.MaxHistoryBytes/logstate.MaxTextBytes))
	apply(t, s, editRecord("large", "service-0", 3*logstate.MaxOutcomes+1, text+"x"))
	out, _ := s.Outcome("large")
	g.Expect(out.Rejected).To(Equal(logstate.ReasonTooLarge))
	g.Expect(len(s.Encode())).To(BeNumerically("<", platformlog.MaxRecordBytes))
}

// TestCheckpointOfLargestDocumentsFitsOneRecord: a checkpoint of a state whose
// services, names, texts and histories are at or near their bounds must fit
// into one record of the log.
func TestCheckpointOfLargestDocumentsFitsOneRecord(t *testing.T) {
	g := NewWithT(t)
	s := logstate.New()
	text := strings.Repeat("\n", logstate.MaxTextBytes/2-1)
	small := strings.Repeat("\n", logstate.MaxHistoryBytes/logstate.MaxHistory/2-1)
	name := strings.Repeat("n", logstate.MaxNameBytes-10)
	for i := range logstate.MaxServices {
		service := fmt.Sprintf("%s-%d", name, i)
		for base := range uint64(logstate.MaxHistory) {
			apply(t, s, editRecord(fmt.Sprintf("%s-%d", service, base), service, base, small))
		}
		apply(t, s, editRecord(service, service, logstate.MaxHistory, text))
		g.Expect(s.History(service)).To(HaveLen(1 + logstate.MaxHistory))
	}
	data, err := logstate.EncodeRecord(s.CheckpointRecord())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(data)).To(BeNumerically("<=", platformlog.MaxRecordBytes))
}

// FuzzRecord: for any data, Apply returns no error other than ErrMalformed and
// ErrUnknownType, and the resulting state survives encoding and decoding.
func FuzzRecord(f *testing.F) {
	for _, r := range []logstate.Record{editRecord("e", "s", 0, "x"), announcementRecord("a", 1, 0), departureRecord("a", 1), logstate.New().CheckpointRecord()} {
		data, err := logstate.EncodeRecord(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		state := logstate.New()
		for offset := range uint64(2) {
			err := state.Apply(offset, data)
			if err != nil && !errors.Is(err, logstate.ErrMalformed) && !errors.Is(err, logstate.ErrUnknownType) {
				t.Fatal(err)
			}
		}
		encoded := state.Encode()
		decoded, err := logstate.Decode(encoded)
		if err != nil {
			t.Fatal(err)
		}
		if string(decoded.Encode()) != string(encoded) {
			t.Fatalf("state changed by a round trip: encoded\n%s\nafter decoding\n%s", encoded, decoded.Encode())
		}
	})
}
