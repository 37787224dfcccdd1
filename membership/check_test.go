package membership_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/membership"
	"github.com/chestnuthollow/chestnuthollow/session"
)

// Guards against announcements of other writers that take the place of agents in the
// subset of an entry, and against dials to addresses that are names.
func TestUnusableProcessIsNotAdded(t *testing.T) {
	for _, c := range []struct{ field, name, role, addr string }{
		{"addr", "a", session.RoleAgent, "10.0.0.1:99999"},
		{"addr", "a", session.RoleAgent, "10.0.0.1:-1"},
		{"addr", "a", session.RoleAgent, "10.0.0.1:0"},
		{"addr", "a", session.RoleAgent, "10.0.0.1"},
		{"addr", "a", session.RoleAgent, "agent.example:80"},
		{"addr", "a", session.RoleAgent, ":80"},
		{"role", "a", "other", "10.0.0.1:80"},
		{"name", strings.Repeat("n", 256), session.RoleAgent, "10.0.0.1:80"},
	} {
		t.Run(c.field+" "+c.addr, func(t *testing.T) {
			g := NewWithT(t)
			p := session.Process{Name: c.name, Role: c.role, Addr: c.addr, Incarnation: 1}
			g.Expect(membership.Check(p)).To(MatchError(ContainSubstring(c.field + ":")))
			table := membership.New("10.0.0.9:1")
			g.Expect(table.Add(now, p, process(session.RoleAgent, 2))).To(BeTrue())
			g.Expect(table.List("")).To(ConsistOf(process(session.RoleAgent, 2)))
		})
	}
}
