package agent

import (
	"sync"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

const (
	maxEntries        = 256
	announceRetryBase = 250 * time.Millisecond
	announceRetryMax  = 15 * time.Second
	// evictTimeout is how long an entry is kept after it was added, sent its last
	// heartbeat or last replied to an announcement.
	evictTimeout = 2 * time.Minute
)

// directory holds the entries that an agent knows, and which of them the agent
// has been announced to. It is safe for concurrent use.
type directory struct {
	silenceTimeout time.Duration

	mu            sync.Mutex
	entries       map[structs.Incarnation]*knownEntry
	lastHeartbeat time.Time
	version       uint64 // of the agent's state; increased by each change to announce
}

type knownEntry struct {
	info             structs.EntryInfo
	lastHeard        time.Time // last heartbeat or reply, or when the entry was added
	announcedVersion uint64    // of the state; zero if never announced
	announcedAt      time.Time
	nextAttempt      time.Time
	retryDelay       time.Duration
	inFlight         bool
}

// dueAnnouncement is an announcement to make to one entry.
type dueAnnouncement struct {
	entry   structs.EntryInfo
	version uint64
}

func newDirectory(silenceTimeout time.Duration) *directory {
	return &directory{
		silenceTimeout: silenceTimeout,
		entries:        make(map[structs.Incarnation]*knownEntry),
		lastHeartbeat:  time.Now(),
		version:        1,
	}
}

// add adds the entries that the directory does not contain.
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
	e = &knownEntry{info: info, lastHeard: now, retryDelay: announceRetryBase}
	d.entries[info.Incarnation] = e
	return e
}

// recordHeartbeat records a heartbeat. An entry that sends heartbeats knows the
// agent, so it needs no announcement of the initial state.
func (d *directory) recordHeartbeat(info structs.EntryInfo, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.addLocked(info, now)
	if e == nil {
		return
	}
	d.lastHeartbeat = now
	e.lastHeard = now
	e.retryDelay = announceRetryBase
	if e.announcedVersion == 0 {
		e.announcedVersion = 1
		e.announcedAt = now
	}
}

// stateChanged records a change of the agent's state. An announcement to every entry
// is then due at once.
func (d *directory) stateChanged() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	for _, e := range d.entries {
		e.nextAttempt = time.Time{}
	}
}

// silent reports whether no entry has sent a heartbeat within silenceTimeout.
func (d *directory) silent(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.lastHeartbeat) >= d.silenceTimeout
}

// due returns the announcements to make now and marks them as in flight. It also
// evicts entries that have not been heard from within evictTimeout.
func (d *directory) due(now time.Time) []dueAnnouncement {
	d.mu.Lock()
	defer d.mu.Unlock()
	var due []dueAnnouncement
	for id, e := range d.entries {
		if now.Sub(e.lastHeard) >= evictTimeout {
			delete(d.entries, id)
			continue
		}
		if e.inFlight || now.Before(e.nextAttempt) || !d.needsAnnouncement(e, now) {
			continue
		}
		e.inFlight = true
		due = append(due, dueAnnouncement{entry: e.info, version: d.version})
	}
	return due
}

// needsAnnouncement reports whether the current state has not been announced to the
// entry, or the entry has neither been heard from nor announced to within silenceTimeout.
func (d *directory) needsAnnouncement(e *knownEntry, now time.Time) bool {
	if e.announcedVersion < d.version {
		return true
	}
	return now.Sub(e.lastHeard) >= d.silenceTimeout && now.Sub(e.announcedAt) >= d.silenceTimeout
}

func (d *directory) recordAnnouncement(a dueAnnouncement, ok bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[a.entry.Incarnation]
	if e == nil {
		return
	}
	e.inFlight = false
	if !ok {
		e.nextAttempt = now.Add(jitter(e.retryDelay))
		e.retryDelay = min(2*e.retryDelay, announceRetryMax)
		return
	}
	e.announcedVersion = max(e.announcedVersion, a.version)
	e.announcedAt = now
	e.retryDelay = announceRetryBase
	e.lastHeard = now
}

// pending reports whether the current state has not been announced to some entry
// that was heard from within silenceTimeout.
func (d *directory) pending() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.entries {
		if e.announcedVersion < d.version && time.Since(e.lastHeard) < d.silenceTimeout {
			return true
		}
	}
	return false
}

// list returns all entries of the directory.
func (d *directory) list() []structs.EntryInfo {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]structs.EntryInfo, 0, len(d.entries))
	for _, e := range d.entries {
		list = append(list, e.info)
	}
	return list
}
