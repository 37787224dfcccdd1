package quota

import "time"

// share is this entry's part of each limit: one nth of it with n live entries.
type share struct {
	entries int // counted on now
	fewer   int // live, if below entries; counted on once it has lasted
	since   time.Time
}

// set takes in the number of live entries. More of them count at once, fewer
// only after ShareDelay.
func (s *share) set(now time.Time, n int) {
	n = max(n, 1)
	if n >= s.entries {
		s.entries, s.fewer = n, 0
		return
	}
	if s.fewer == 0 {
		s.since = now
	}
	s.fewer = n
	s.due(now)
}

// due lets a lasting fall of the number take effect; it returns whether one
// did.
func (s *share) due(now time.Time) bool {
	if s.fewer == 0 || now.Sub(s.since) < ShareIncreaseDelay {
		return false
	}
	s.entries, s.fewer = s.fewer, 0
	return true
}

func (s *share) part() float64 { return 1 / float64(s.entries) }
