package follow

import (
	"time"

	"github.com/chestnuthollow/chestnuthollow/fold"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// liveness tells which announced entries are still listed. An entry that died
// without a word runs out after a TTL of time in which the log could be read.
type liveness struct {
	ttl  time.Duration
	seen map[string]sighting // by entry name
}

type sighting struct {
	offset uint64        // of the announcement
	age    time.Duration // of time with a working log
}

func newLiveness(ttl time.Duration) *liveness {
	return &liveness{ttl: ttl, seen: make(map[string]sighting)}
}

// list returns the entries to list, after elapsed more of time with a working
// log.
func (l *liveness) list(announced []fold.AnnouncedEntry, elapsed time.Duration) []structs.EntryInfo {
	seen := make(map[string]sighting, len(announced))
	var live []structs.EntryInfo
	for _, e := range announced {
		s, known := l.seen[e.Info.Name]
		if known && s.offset == e.Offset {
			s.age += elapsed
		} else {
			s = sighting{offset: e.Offset}
		}
		seen[e.Info.Name] = s
		if s.age <= l.ttl {
			live = append(live, e.Info)
		}
	}
	l.seen = seen
	return live
}
