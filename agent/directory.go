package agent

import (
	"sync"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

const (
	maxEntries       = 256
	announceRetryMin = 250 * time.Millisecond
	announceRetryMax = 15 * time.Second
	// forgetAfter is how long an entry is kept that neither heartbeats nor
	// answers.
	forgetAfter = 2 * time.Minute
)

// directory is the entries an agent knows of. It is safe for concurrent use.
type directory struct {
	silence time.Duration

	mu            sync.Mutex
	entries       map[structs.Incarnation]*knownEntry
	lastHeartbeat time.Time
	version       uint64 // of the agent's state that entries should know
}

type knownEntry struct {
	info     structs.EntryInfo
	lastSeen time.Time // heartbeat, answer, or first mention
	told     uint64    // version of the state it was told
	toldAt   time.Time
	nextTry  time.Time
	retry    time.Duration
	busy     bool
}

// announcement is one to be made.
type announcement struct {
	entry   structs.EntryInfo
	version uint64
}

func newDirectory(silence time.Duration) *directory {
	return &directory{
		silence:       silence,
		entries:       make(map[structs.Incarnation]*knownEntry),
		lastHeartbeat: time.Now(),
		version:       1,
	}
}

// add takes in entries that someone named.
func (d *directory) add(entries []structs.EntryInfo, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, info := range entries {
		d.addLocked(info, now)
	}
}

func (d *directory) addLocked(info structs.EntryInfo, now time.Time) *knownEntry {
	e := d.entries[info.Incarnation]
	if e != nil {
		return e
	}
	if info.Incarnation == 0 || info.RPCAddr == "" || len(d.entries) >= maxEntries {
		return nil
	}
	e = &knownEntry{info: info, lastSeen: now, retry: announceRetryMin}
	d.entries[info.Incarnation] = e
	return e
}

// heard notes a heartbeat: its sender knows the agent.
func (d *directory) heard(info structs.EntryInfo, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.addLocked(info, now)
	if e == nil {
		return
	}
	d.lastHeartbeat = now
	e.lastSeen = now
	e.retry = announceRetryMin
	if e.told == 0 {
		e.told = 1
		e.toldAt = now
	}
}

// changed has every entry told anew.
func (d *directory) changed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	for _, e := range d.entries {
		e.nextTry = time.Time{}
	}
}

// silent reports whether no entry has sent a heartbeat for long.
func (d *directory) silent(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.lastHeartbeat) >= d.silence
}

// due returns the announcements to be made now, and forgets entries that have
// been gone for long.
func (d *directory) due(now time.Time) []announcement {
	d.mu.Lock()
	defer d.mu.Unlock()
	var due []announcement
	for id, e := range d.entries {
		if now.Sub(e.lastSeen) >= forgetAfter {
			delete(d.entries, id)
			continue
		}
		if e.busy || now.Before(e.nextTry) || !d.needs(e, now) {
			continue
		}
		e.busy = true
		due = append(due, announcement{entry: e.info, version: d.version})
	}
	return due
}

// needs reports whether an entry lacks the present state, or has been told and
// yet keeps silent.
func (d *directory) needs(e *knownEntry, now time.Time) bool {
	if e.told < d.version {
		return true
	}
	return now.Sub(e.lastSeen) >= d.silence && now.Sub(e.toldAt) >= d.silence
}

// announced notes how an announcement ended.
func (d *directory) announced(a announcement, ok bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[a.entry.Incarnation]
	if e == nil {
		return
	}
	e.busy = false
	if !ok {
		e.nextTry = now.Add(jitter(e.retry))
		e.retry = min(2*e.retry, announceRetryMax)
		return
	}
	e.told = max(e.told, a.version)
	e.toldAt = now
	e.retry = announceRetryMin
	e.lastSeen = now
}

// pending reports whether an entry that was seen lately lacks the present
// state.
func (d *directory) pending() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.entries {
		if e.told < d.version && time.Since(e.lastSeen) < d.silence {
			return true
		}
	}
	return false
}

// list returns the known entries.
func (d *directory) list() []structs.EntryInfo {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]structs.EntryInfo, 0, len(d.entries))
	for _, e := range d.entries {
		list = append(list, e.info)
	}
	return list
}
