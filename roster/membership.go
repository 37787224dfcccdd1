// Package roster maintains the membership of the system as known to one process:
// the addresses of the other processes, from the platform's store and from
// exchanges with entries. It determines which peers to dial. It does not detect
// failures: whether a peer is alive shows in the connections to it.
package roster

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/chestnuthollow/chestnuthollow/session"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// removeAfter is how long a process that cannot be reached is kept. It is longer
// than the outages after which machines return at the same address.
const removeAfter = 60 * time.Second

// Membership is the set of known processes, by address. It is safe for concurrent
// use.
type Membership struct {
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

// New returns an empty Membership for the process at the address self.
func New(self string) *Membership {
	return &Membership{self: self, members: make(map[string]*member)}
}

// Add adds processes learned from other sources and updates those with a changed
// incarnation. It reports whether any address is new.
func (m *Membership) Add(now time.Time, list ...session.Process) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	added := false
	for _, p := range list {
		if p.Addr == "" || p.Addr == m.self {
			continue
		}
		mem := m.members[p.Addr]
		if mem == nil {
			m.members[p.Addr] = &member{process: p, lastHeard: now}
			added = true
		} else if p.Incarnation != 0 && p.Incarnation != mem.process.Incarnation {
			mem.process = p
			mem.lastHeard = now
		}
	}
	return added
}

// AddSeeds adds entries of which only the addresses are known.
func (m *Membership) AddSeeds(now time.Time, addrs []string) {
	for _, addr := range addrs {
		m.Add(now, session.Process{Name: "seed", Role: session.RoleEntry, Addr: addr})
	}
}

// MarkReachable records that a message of the process at the address has arrived.
func (m *Membership) MarkReachable(now time.Time, addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if mem := m.members[addr]; mem != nil {
		mem.lastHeard = now
	}
}

// MarkUnreachable records that the process at the address does not reply, and
// removes it if it has not been reached for removeAfter. It reports whether the
// process is not a member any more.
func (m *Membership) MarkUnreachable(now time.Time, addr string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	mem := m.members[addr]
	if mem == nil {
		return true
	}
	if now.Sub(mem.lastHeard) < removeAfter {
		return false
	}
	delete(m.members, addr)
	return true
}

// List returns the processes of a role, or of all roles if role is empty, ordered
// by address.
func (m *Membership) List(role string) []session.Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []session.Process
	for _, mem := range m.members {
		if role == "" || mem.process.Role == role {
			list = append(list, mem.process)
		}
	}
	slices.SortFunc(list, func(a, b session.Process) int { return cmp.Compare(a.Addr, b.Addr) })
	return list
}

// WithoutSession returns the entries for which inSession is false, ordered by
// address.
func (m *Membership) WithoutSession(inSession func(structs.Incarnation) bool) []session.Process {
	return slices.DeleteFunc(m.List(session.RoleEntry), func(p session.Process) bool { return inSession(p.Incarnation) })
}

// ProcessesFor returns the processes that the sender of the request may not know,
// self included: the entries if the sender is an agent, all processes if it is an
// entry, or none if the digests are equal.
func (m *Membership) ProcessesFor(self session.Process, req *session.ExchangeRequest) []session.Process {
	role := ""
	switch {
	case req.From.Role == session.RoleAgent:
		role = session.RoleEntry
	case req.Digest == m.Digest():
		return nil
	}
	return append(m.List(role), self)
}

// Digest returns a hash of the set of known addresses, the own one included. It
// does not depend on their order.
func (m *Membership) Digest() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := addrHash(m.self)
	for addr := range m.members {
		sum += addrHash(addr)
	}
	return sum
}

func addrHash(addr string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(addr))
	return h.Sum64()
}
