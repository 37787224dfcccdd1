// Package membership records the members of the system as known to one process:
// the addresses of the other processes, from the platform's store and from
// exchanges with entries. It determines which peers to dial. It does not detect
// failures: whether a peer is alive shows in the connections to it.
package membership

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// evictTimeout is how long a process that cannot be reached is kept. It is longer
// than the outages after which machines return at the same address.
const evictTimeout = 60 * time.Second

// Table is the set of known processes, by address. It is safe for concurrent
// use.
type Table struct {
	self string // address of this process, which is never a member

	mu      sync.Mutex
	members map[string]*member
}

type member struct {
	process session.Process
	// lastHeard is when the last message of the process arrived, or when it was added
	// with its current incarnation.
	lastHeard time.Time
}

// New returns an empty Table for the process at the address self.
func New(self string) *Table {
	return &Table{self: self, members: make(map[string]*member)}
}

// Add adds processes learned from the store or from other processes, and updates
// those with a changed incarnation. Those that Check rejects are left out. It reports
// whether any address is new.
func (t *Table) Add(now time.Time, list ...session.Process) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	added := false
	for _, p := range list {
		if p.Addr == t.self || Check(p) != nil {
			continue
		}
		mem := t.members[p.Addr]
		if mem == nil {
			t.members[p.Addr] = &member{process: p, lastHeard: now}
			added = true
		} else if p.Incarnation != 0 && p.Incarnation != mem.process.Incarnation {
			mem.process = p
			mem.lastHeard = now
		} else if p.Incarnation != 0 && p.Rack != "" {
			mem.process.Rack = p.Rack // an agent learns it from its backend server
		}
	}
	return added
}

// Replaces reports whether another incarnation than that of p is known at its
// address.
func (t *Table) Replaces(p session.Process) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	mem := t.members[p.Addr]
	return mem != nil && p.Incarnation != 0 && p.Incarnation != mem.process.Incarnation
}

// AddSeeds adds entries of which only the addresses are known.
func (t *Table) AddSeeds(now time.Time, addrs []string) {
	for _, addr := range addrs {
		t.Add(now, session.Process{Name: "seed", Role: session.RoleEntry, Addr: addr})
	}
}

// MarkReachable records that a message of the process at the address has arrived, which may
// be its request: a process that sends any is alive, even if it cannot be dialed at present.
func (t *Table) MarkReachable(now time.Time, addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if mem := t.members[addr]; mem != nil {
		mem.lastHeard = now
	}
}

// MarkUnreachable records that the process at the address does not reply, and
// removes it if it has not been reached for evictTimeout. It reports whether the
// process is not a member any more.
func (t *Table) MarkUnreachable(now time.Time, addr string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	mem := t.members[addr]
	if mem == nil {
		return true
	}
	if now.Sub(mem.lastHeard) < evictTimeout {
		return false
	}
	delete(t.members, addr)
	return true
}

// List returns the processes of a role, or of all roles if role is empty, ordered
// by address.
func (t *Table) List(role string) []session.Process {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []session.Process
	for _, mem := range t.members {
		if role == "" || mem.process.Role == role {
			list = append(list, mem.process)
		}
	}
	slices.SortFunc(list, func(a, b session.Process) int { return cmp.Compare(a.Addr, b.Addr) })
	return list
}

// WithoutSession returns the entries for which inSession is false, ordered by
// address.
func (t *Table) WithoutSession(inSession func(structs.Incarnation) bool) []session.Process {
	return slices.DeleteFunc(t.List(session.RoleEntry), func(p session.Process) bool { return inSession(p.Incarnation) })
}

// ProcessesFor returns the processes that the sender of the request may not know,
// self included: the entries if the sender is an agent, all processes if it is an
// entry, or none if the digests are equal.
func (t *Table) ProcessesFor(self session.Process, req *session.ExchangeRequest) []session.Process {
	role := ""
	switch {
	case req.From.Role == session.RoleAgent:
		role = session.RoleEntry
	case req.Digest == t.Digest():
		return nil
	}
	return append(t.List(role), self)
}

// Digest returns a hash of the set of known addresses, including that of this
// process. It does not depend on their order.
func (t *Table) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := addrHash(t.self)
	for addr := range t.members {
		sum += addrHash(addr)
	}
	return sum
}

func addrHash(addr string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(addr))
	return h.Sum64()
}
