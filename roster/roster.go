// Package roster keeps the processes of the system that a process has heard of,
// from the platform's store and from other processes. It says whom to dial; who
// is alive, connections tell.
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

// forgetAfter is how long a process is kept that cannot be reached: longer than
// the outages after which machines come back at their addresses.
const forgetAfter = 60 * time.Second

// Membership is a set of processes by address. It is safe for concurrent use.
type Membership struct {
	self string // own address, never listed

	mu      sync.Mutex
	members map[string]*member
}

type member struct {
	process session.Process
	heard   time.Time // when it was last reached, or told of by another process
}

// New returns a Roster of the process at the address self.
func New(self string) *Membership {
	return &Membership{self: self, members: make(map[string]*member)}
}

// Add takes in processes that were told of and reports whether any is new.
func (r *Membership) Add(now time.Time, list ...session.Process) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	added := false
	for _, p := range list {
		if p.Addr == "" || p.Addr == r.self {
			continue
		}
		m := r.members[p.Addr]
		if m == nil {
			r.members[p.Addr] = &member{process: p, heard: now}
			added = true
		} else if p.Incarnation != 0 && p.Incarnation != m.process.Incarnation {
			m.process = p
			m.heard = now
		}
	}
	return added
}

// AddSeeds takes in entries of which only the addresses are known.
func (r *Membership) AddSeeds(now time.Time, addrs []string) {
	for _, addr := range addrs {
		r.Add(now, session.Process{Name: "seed", Role: session.RoleEntry, Addr: addr})
	}
}

// MarkReachable notes that the process at the address answers.
func (r *Membership) MarkReachable(now time.Time, addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.members[addr]; m != nil {
		m.heard = now
	}
}

// MarkUnreachable notes that the process at the address does not answer, and
// forgets it if that has lasted. It reports whether it was forgotten.
func (r *Membership) MarkUnreachable(now time.Time, addr string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[addr]
	if m == nil {
		return true
	}
	if now.Sub(m.heard) < forgetAfter {
		return false
	}
	delete(r.members, addr)
	return true
}

// List returns the processes of a role, or of all roles if it is empty, by
// address.
func (r *Membership) List(role string) []session.Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []session.Process
	for _, m := range r.members {
		if role == "" || m.process.Role == role {
			list = append(list, m.process)
		}
	}
	slices.SortFunc(list, func(a, b session.Process) int { return cmp.Compare(a.Addr, b.Addr) })
	return list
}

// WithoutSession returns the entries with which there is no session, by address.
func (r *Membership) WithoutSession(inSession func(structs.Incarnation) bool) []session.Process {
	return slices.DeleteFunc(r.List(session.RoleEntry), func(p session.Process) bool { return inSession(p.Incarnation) })
}

// ProcessesFor returns whom the asker may not know, with this process: for an agent the
// entries, for an entry all, or none if it knows as many.
func (r *Membership) ProcessesFor(self session.Process, req *session.ExchangeRequest) []session.Process {
	role := ""
	switch {
	case req.From.Role == session.RoleAgent:
		role = session.RoleEntry
	case req.Digest == r.Digest():
		return nil
	}
	return append(r.List(role), self)
}

// Digest sums up which processes are known, this one included. Two processes
// that know the same have the same digest.
func (r *Membership) Digest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := addrHash(r.self)
	for addr := range r.members {
		sum += addrHash(addr)
	}
	return sum
}

func addrHash(addr string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(addr))
	return h.Sum64()
}
