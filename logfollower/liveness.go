package logfollower

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/logstate"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// liveness decides which announced entries are still listed. An entry that
// crashed without announcing its departure expires once its last announcement
// is older than the TTL, not counting time in which the log could not be read.
type liveness struct {
	ttl           time.Duration
	announcements map[string]announcementAge // by entry name
}

type announcementAge struct {
	offset uint64        // of the announcement
	age    time.Duration // not counting time in which the log could not be read
}

func newLiveness(ttl time.Duration) *liveness {
	return &liveness{ttl: ttl, announcements: make(map[string]announcementAge)}
}

// list adds elapsed to the age of each known announcement and returns the
// entries that have not expired.
func (l *liveness) list(announced []logstate.AnnouncedEntry, elapsed time.Duration) []structs.EntryInfo {
	announcements := make(map[string]announcementAge, len(announced))
	var live []structs.EntryInfo
	for _, e := range announced {
		a, known := l.announcements[e.Info.Name]
		if known && a.offset == e.Offset {
			a.age += elapsed
		} else {
			a = announcementAge{offset: e.Offset}
		}
		announcements[e.Info.Name] = a
		if a.age <= l.ttl {
			live = append(live, e.Info)
		}
	}
	l.announcements = announcements
	return live
}
