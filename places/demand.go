package places

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// demandMemory is how long after its last job a rack counts as wanted. It is longer
	// than the pauses between jobs of a data set, and as a session costs little, than
	// those between bursts.
	demandMemory = 30 * time.Second
	// maxWantedRacks bounds the racks that are wanted at a time.
	maxWantedRacks = 16
)

// Demand records which racks jobs want. The zero value has none. It is not safe for
// concurrent use.
type Demand struct {
	racks   map[string]wanted
	groupAt time.Time // when the newest job came that wants any one rack for all its tasks
}

type wanted struct {
	jobs   int
	newest time.Time
}

// AddGroup records a job that wants any one rack for all its tasks.
func (d *Demand) AddGroup(now time.Time) { d.groupAt = now }

// Add records a job that wants a rack. It reports whether the rack was not wanted before.
func (d *Demand) Add(now time.Time, rack string) bool {
	if d.racks == nil {
		d.racks = make(map[string]wanted)
	}
	r, known := d.racks[rack]
	if !known && len(d.racks) >= maxRacks {
		d.forget(now)
		if len(d.racks) >= maxRacks {
			return false
		}
	}
	d.racks[rack] = wanted{jobs: r.jobs + 1, newest: now}
	return !known
}

func (d *Demand) forget(now time.Time) {
	maps.DeleteFunc(d.racks, func(_ string, r wanted) bool { return now.Sub(r.newest) > demandMemory })
}

// Racks returns the racks that are wanted, the most wanted ones first.
func (d *Demand) Racks(now time.Time) []string {
	d.forget(now)
	list := slices.SortedFunc(maps.Keys(d.racks), func(a, b string) int {
		return cmp.Or(cmp.Compare(d.racks[b].jobs, d.racks[a].jobs), cmp.Compare(a, b))
	})
	return list[:min(len(list), maxWantedRacks)]
}

// Groups reports whether there are jobs that want any one rack for all their tasks.
func (d *Demand) Groups(now time.Time) bool {
	return !d.groupAt.IsZero() && now.Sub(d.groupAt) <= demandMemory
}
