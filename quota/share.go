package quota

import "time"

// share is this entry's share of each limit: 1/n with n live entries.
type share struct {
	entries int // number of live entries that the share is based on
	// reduced is a lower number of live entries that has not taken effect yet;
	// zero if there is none. since is when the number fell below entries.
	reduced int
	since   time.Time
}

// set records the number of live entries. An increase takes effect at once, a
// decrease after ShareIncreaseDelay.
func (s *share) set(now time.Time, n int) {
	n = max(n, 1)
	if n >= s.entries {
		s.entries, s.reduced = n, 0
		return
	}
	if s.reduced == 0 {
		s.since = now
	}
	s.reduced = n
	s.applyReduced(now)
}

// applyReduced puts a reduced number of entries into effect if the delay has
// passed, and reports whether it did.
func (s *share) applyReduced(now time.Time) bool {
	if s.reduced == 0 || now.Sub(s.since) < ShareIncreaseDelay {
		return false
	}
	s.entries, s.reduced = s.reduced, 0
	return true
}

func (s *share) fraction() float64 { return 1 / float64(s.entries) }
