package logstate

import (
	"maps"
	"slices"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// maxFormerIncarnations bounds the former incarnations kept per entry.
const maxFormerIncarnations = 8

// entryState describes the newest announced incarnation of an entry.
type entryState struct {
	Info     structs.EntryInfo `json:"info"`
	Offset   uint64            `json:"offset"` // of the newest announcement
	Departed bool              `json:"gone,omitempty"`
	// Former holds earlier incarnations. Announcements of them that arrive
	// late are ignored.
	Former []structs.Incarnation `json:"former,omitempty"`
}

// AnnouncedEntry is an entry together with the offset of its newest
// announcement.
type AnnouncedEntry struct {
	Info   structs.EntryInfo
	Offset uint64
}

// Entries returns the newest announced incarnation of each entry that has not
// departed, sorted by name. An entry that crashed without announcing its
// departure stays listed until its next incarnation announces itself.
func (s *State) Entries() []AnnouncedEntry {
	var list []AnnouncedEntry
	for _, name := range slices.Sorted(maps.Keys(s.entries)) {
		a := s.entries[name]
		if !a.Departed {
			list = append(list, AnnouncedEntry{Info: a.Info, Offset: a.Offset})
		}
	}
	return list
}

// Listed reports whether Entries includes the incarnation.
func (s *State) Listed(name string, incarnation structs.Incarnation) bool {
	a := s.entries[name]
	return a.Info.Incarnation == incarnation && incarnation != 0 && !a.Departed
}

// Superseded reports whether a later incarnation of the named entry has
// announced itself, so that this one is no longer listed.
func (s *State) Superseded(name string, incarnation structs.Incarnation) bool {
	return slices.Contains(s.entries[name].Former, incarnation)
}

func (s *State) applyAnnouncement(offset uint64, e *EntryAnnouncement) {
	a, known := s.entries[e.Info.Name]
	incarnation := e.Info.Incarnation
	if slices.Contains(a.Former, incarnation) || a.Departed && a.Info.Incarnation == incarnation {
		return
	}
	next := entryState{Info: e.Info, Offset: offset, Former: a.Former}
	if known && a.Info.Incarnation != incarnation {
		if e.StateOffset <= a.Offset {
			return // made without knowledge of the listed incarnation; a running entry announces itself again
		}
		next.Former = appendFormer(a.Former, a.Info.Incarnation)
	}
	s.entries[e.Info.Name] = next
	s.limitEntries()
}

func (s *State) applyDeparture(e *EntryDeparture) {
	a, known := s.entries[e.Name]
	if !known || a.Info.Incarnation != e.Incarnation {
		return
	}
	a.Departed = true
	s.entries[e.Name] = a
}

func appendFormer(former []structs.Incarnation, incarnation structs.Incarnation) []structs.Incarnation {
	former = append(slices.Clone(former), incarnation)
	return former[max(0, len(former)-maxFormerIncarnations):]
}

// limitEntries evicts one entry if there are more than MaxEntries: the departed
// one with the oldest announcement, or the one with the oldest announcement if
// none has departed.
func (s *State) limitEntries() {
	if len(s.entries) <= MaxEntries {
		return
	}
	evicted := ""
	for name, a := range s.entries {
		if evicted == "" || s.entries[evicted].evictAfter(a) {
			evicted = name
		}
	}
	delete(s.entries, evicted)
}

// evictAfter reports whether a is to be evicted after b.
func (a entryState) evictAfter(b entryState) bool {
	if a.Departed != b.Departed {
		return b.Departed
	}
	return a.Offset > b.Offset
}
