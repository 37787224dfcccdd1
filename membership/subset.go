package membership

import (
	"github.com/chestnuthollow/chestnuthollow/internal/rendezvous"
	"github.com/chestnuthollow/chestnuthollow/session"
)

const (
	// minSubset is the least number of agents with which an entry keeps sessions.
	// The least loaded of a few dozen servers is nearly always as good as the least
	// loaded of all, and a service of this size or less is covered whole.
	minSubset = 32
	// entriesPerAgent is the mean number of entries that keep a session with an
	// agent. With eight, an agent is left out by all of them once in some thousand
	// cases, also while an availability zone is lost.
	entriesPerAgent = 8
)

// SubsetSize returns with how many of the agents one of the entries keeps sessions
// (subsetting): the messages that keep sessions alive then grow with the number of
// processes and not with its square.
func SubsetSize(agents, entries int) int {
	covering := (entriesPerAgent*agents + max(entries, 1) - 1) / max(entries, 1)
	return min(max(minSubset, covering), agents)
}

// InitialSubsetSize returns with how many of the agents an entry keeps sessions that
// has just started and does not know the number of entries yet. After a power loss all
// entries know only a few seeds, and SubsetSize would make each take all agents.
func InitialSubsetSize(agents int) int { return min(minSubset, agents) }

// ByService groups agents by their service. A subset is chosen of each group, because
// the agents of a small service could otherwise be missing from it.
func ByService(agents []session.Process) map[string][]session.Process {
	groups := make(map[string][]session.Process)
	for _, p := range agents {
		groups[p.Service] = append(groups[p.Service], p)
	}
	return groups
}

// Rank orders agents by preference of the entry at the address self, the most
// preferred first (rendezvous hashing). Each entry has an order of its own, so that
// the first agents of all entries together cover all agents about evenly, and a
// change of one agent moves no other.
func Rank(self string, agents []session.Process) []session.Process {
	return rendezvous.Rank(self, agents, func(p session.Process) string { return p.Addr })
}
