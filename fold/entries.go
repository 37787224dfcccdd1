package fold

import (
	"maps"
	"slices"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// maxFormer bounds the former incarnations remembered of one entry.
const maxFormer = 8

// announcement is the newest announced run of the entry with one name.
type announcement struct {
	Info   structs.EntryInfo `json:"info"`
	Offset uint64            `json:"offset"`
	Gone   bool              `json:"gone,omitempty"`
	// Former are earlier runs; their late announcements are ignored.
	Former []structs.Incarnation `json:"former,omitempty"`
}

// AnnouncedEntry is an entry together with the offset of its newest
// announcement.
type AnnouncedEntry struct {
	Info   structs.EntryInfo
	Offset uint64
}

// Entries returns the newest announced run of each entry that is not gone, by
// name. A run that died without a word stays until its successor announces
// itself.
func (f *State) Entries() []AnnouncedEntry {
	var list []AnnouncedEntry
	for _, name := range slices.Sorted(maps.Keys(f.entries)) {
		a := f.entries[name]
		if !a.Gone {
			list = append(list, AnnouncedEntry{Info: a.Info, Offset: a.Offset})
		}
	}
	return list
}

// Listed reports whether Entries holds the run.
func (f *State) Listed(name string, run structs.Incarnation) bool {
	a := f.entries[name]
	return a.Info.Incarnation == run && run != 0 && !a.Gone
}

// Superseded reports whether a later run of the entry with that name has
// announced itself, so that this one is no longer listed.
func (f *State) Superseded(name string, run structs.Incarnation) bool {
	return slices.Contains(f.entries[name].Former, run)
}

func (f *State) applyEntry(offset uint64, e *EntryAnnouncement) {
	a, known := f.entries[e.Info.Name]
	run := e.Info.Incarnation
	if slices.Contains(a.Former, run) || a.Gone && a.Info.Incarnation == run {
		return
	}
	next := announcement{Info: e.Info, Offset: offset, Former: a.Former}
	if known && a.Info.Incarnation != run {
		if e.StateOffset <= a.Offset {
			return // late; a live run announces itself again
		}
		next.Former = appendBounded(a.Former, a.Info.Incarnation)
	}
	f.entries[e.Info.Name] = next
	f.boundEntries()
}

func (f *State) applyEntryGone(e *EntryDeparture) {
	a, known := f.entries[e.Name]
	if !known || a.Info.Incarnation != e.Incarnation {
		return
	}
	a.Gone = true
	f.entries[e.Name] = a
}

func appendBounded(former []structs.Incarnation, run structs.Incarnation) []structs.Incarnation {
	former = append(slices.Clone(former), run)
	return former[max(0, len(former)-maxFormer):]
}

// boundEntries drops the entry with the oldest announcement when there are too
// many, gone ones first.
func (f *State) boundEntries() {
	if len(f.entries) <= MaxEntries {
		return
	}
	oldest := ""
	for name, a := range f.entries {
		if oldest == "" || f.entries[oldest].after(a) {
			oldest = name
		}
	}
	delete(f.entries, oldest)
}

// after reports whether a is to be kept rather than b.
func (a announcement) after(b announcement) bool {
	if a.Gone != b.Gone {
		return b.Gone
	}
	return a.Offset > b.Offset
}
