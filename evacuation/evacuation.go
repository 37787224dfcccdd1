// Package evacuation keeps which availability zones are evacuated: no task may be
// started there until the evacuation is withdrawn. The operators' topic of the store
// says so; processes that cannot read it learn the newest state from others. A state is
// the fold of all records of the topic up to an offset, its version, and a higher version
// replaces a lower one whole, so that no process goes back. The package does no I/O and
// reads no clock.
package evacuation

import (
	"fmt"
	"slices"
	"time"

	"github.com/chestnuthollow/chestnuthollow/session"
)

const (
	// StaleAfter is how long after the last reply to a read of the topic a view is stale:
	// two of the readers' waiting reads.
	StaleAfter = 2 * time.Second
	// durationWeight is the weight of the newest evacuation in the moving average of
	// their durations.
	durationWeight = 0.5
)

// maxVersion bounds the versions that other processes state. No topic has as many records,
// and a higher version would keep all later ones out of force.
const maxVersion = 1<<53 - 1

// Check returns an error if another process cannot have learned the state from the topic.
func Check(e session.Evacuation) error {
	if e.Version < 0 || e.Version > maxVersion {
		return fmt.Errorf("evacuations: version: expected 0 to %d, got %d", int64(maxVersion), e.Version)
	}
	return nil
}

// Record is a record of the operators' topic that evacuates a zone, or withdraws the
// evacuation.
type Record struct {
	Zone      string
	Evacuated bool
	Offset    int64
}

// Snapshot contains the newest record of each key of the operators' topic. Records are
// those of evacuations; zones without one were not evacuated before the offset Next.
type Snapshot struct {
	Records []Record
	Next    int64
}

// Batch is a reply to a read of the operators' topic, with its records of evacuations.
type Batch struct {
	Records []Record
	Next    int64 // offset after the last record of any kind that was read
	// Snapshot means that Records are the newest of each key, see type Snapshot. Otherwise
	// the read began where the state ended, or before.
	Snapshot bool
	More     bool // there were further records at the time of the reply
}

// Change is a zone whose evacuation began or ended by an update.
type Change struct {
	Zone      string
	Evacuated bool
}

// State is what one process knows of the evacuations. The zero value knows nothing. It
// is not safe for concurrent use.
type State struct {
	current   session.Evacuation
	since     map[string]time.Time // when this process learned of the evacuation of a zone
	durations time.Duration        // moving average of past evacuations; zero if there were none
	heardAt   time.Time            // of the last reply that left no record unread
}

// New returns a state that knows nothing, of a process that has started to read the topic.
// Until StaleAfter has passed its view is not stale.
func New(now time.Time) State { return State{heardAt: now} }

// Current returns the newest known state. The caller must not modify it.
func (s *State) Current() session.Evacuation { return s.current }

// Evacuated reports whether no task may be started in the zone.
func (s *State) Evacuated(zone string) bool {
	_, found := slices.BinarySearch(s.current.Zones, zone)
	return found
}

// Update takes over a state of another process if it is newer, and returns what changed.
// One that Check rejects changes nothing.
func (s *State) Update(now time.Time, e session.Evacuation) []Change {
	if e.Version <= s.current.Version || Check(e) != nil {
		return nil
	}
	zones := slices.Clone(e.Zones)
	slices.Sort(zones)
	return s.replace(now, session.Evacuation{Version: e.Version, Zones: slices.Compact(zones)})
}

// ApplyRecord adds the next record of the topic and returns what changed. A record that
// the state includes already changes nothing.
func (s *State) ApplyRecord(now time.Time, r Record) []Change {
	if r.Offset < s.current.Version {
		return nil
	}
	zones := slices.DeleteFunc(slices.Clone(s.current.Zones), func(z string) bool { return z == r.Zone })
	if r.Evacuated {
		zones = append(zones, r.Zone)
		slices.Sort(zones)
	}
	return s.replace(now, session.Evacuation{Version: r.Offset + 1, Zones: zones})
}

// ApplySnapshot replaces the state by a snapshot of the topic and returns what changed.
// Records from Snapshot.Next on were written while the snapshot was read; they are
// included, and change nothing when they are read again.
func (s *State) ApplySnapshot(now time.Time, snap Snapshot) []Change {
	if snap.Next <= s.current.Version {
		return nil
	}
	var zones []string
	for _, r := range snap.Records {
		if r.Evacuated {
			zones = append(zones, r.Zone)
		}
	}
	slices.Sort(zones)
	return s.replace(now, session.Evacuation{Version: snap.Next, Zones: slices.Compact(zones)})
}

// Apply adds a reply to a read of the topic and returns what changed. The version includes
// records of other kinds, so that a process that goes on reading at the version skips them.
func (s *State) Apply(now time.Time, b Batch) []Change {
	if !b.More {
		s.heardAt = now
	}
	if b.Snapshot {
		return s.ApplySnapshot(now, Snapshot{Records: b.Records, Next: b.Next})
	}
	var changes []Change
	for _, r := range b.Records {
		changes = append(changes, s.ApplyRecord(now, r)...)
	}
	s.current.Version = max(s.current.Version, b.Next)
	return changes
}

// Unheard returns for how long the process has had no reply to its reads of the topic if
// its view is stale, and zero otherwise.
func (s *State) Unheard(now time.Time) time.Duration {
	if d := now.Sub(s.heardAt); d > StaleAfter {
		return d
	}
	return 0
}

// replace puts a state in force and learns the durations of the evacuations that ended.
func (s *State) replace(now time.Time, next session.Evacuation) []Change {
	var changes []Change
	for _, z := range s.current.Zones {
		if _, still := slices.BinarySearch(next.Zones, z); !still {
			changes = append(changes, Change{Zone: z})
			s.learnDuration(now.Sub(s.since[z]))
			delete(s.since, z)
		}
	}
	if s.since == nil {
		s.since = make(map[string]time.Time)
	}
	for _, z := range next.Zones {
		if !s.Evacuated(z) {
			changes = append(changes, Change{Zone: z, Evacuated: true})
			s.since[z] = now
		}
	}
	s.current = next
	return changes
}

func (s *State) learnDuration(took time.Duration) {
	if s.durations == 0 {
		s.durations = took
		return
	}
	s.durations += time.Duration(durationWeight * float64(took-s.durations))
}

// ExpectedRemaining returns the expected time until the first of the evacuated zones is
// restored, from the durations of past evacuations. It leaves out zones that have been
// evacuated for longer than these, and reports false if no zone is left.
func (s *State) ExpectedRemaining(now time.Time) (time.Duration, bool) {
	var least time.Duration
	for _, since := range s.since {
		if left := s.durations - now.Sub(since); left > 0 && (least == 0 || left < least) {
			least = left
		}
	}
	return least, least > 0
}
