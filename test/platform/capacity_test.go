package platform_test

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a check of the capacity that counts the end of a task by the size of a later
// submission of its job: what it counts as used stays wrong for the rest of a soak.
func TestCapacityInUseIsZeroAfterJobSubmittedAgainWithOtherSize(t *testing.T) {
	g := NewWithT(t)
	s := newSystem(t, 1, 1)
	first := make(chan answer, 1)
	go func() { first <- s.post(t.Context(), s.entries[0], "00e1", 1, 600, 2000, "ok") }()
	g.Eventually(func() int { return s.invariants.runningTasks("00e1") }, "3s", "5ms").Should(Equal(1))
	g.Expect(s.invariants.usedAt("server-0")).To(Equal(2000))

	s.post(t.Context(), s.entries[0], "00e1", 1, 600, 5000, "ok")
	g.Expect((<-first).state).To(Equal("completed"))
	g.Eventually(func() int { return s.invariants.runningTasks("00e1") }, "3s", "5ms").Should(BeZero())
	g.Expect(s.invariants.usedAt("server-0")).To(BeZero())
}

// usedAt returns how much a server runs, in thousandths of a core.
func (c *invariantChecker) usedAt(server string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used[server]
}
