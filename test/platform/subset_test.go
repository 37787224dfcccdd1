package platform_test

import (
	"fmt"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/membership"
)

// Subsetting with real processes: each of many entries is in session with a part of
// the agents, replaces those that fail, and serves jobs all the while.
func TestEntriesKeepSubsetsOfManyAgents(t *testing.T) {
	g := NewWithT(t)
	const entries, agents, killed = 12, 44, 12
	s := newSystem(t, entries, agents)
	size := membership.SubsetSize(agents, entries)
	g.Expect(size).To(BeNumerically("<", agents-killed+1))
	sessions := func() []int {
		list := make([]int, entries)
		for i, p := range s.entries {
			list[i] = p.readyAgents()
		}
		return list
	}
	g.Eventually(sessions, "20s", "200ms").Should(HaveEach(size))

	for _, p := range s.agents[:killed] {
		p.kill()
	}
	s.expectJobs(t, 1)
	g.Eventually(sessions, "20s", "200ms").Should(HaveEach(min(size, agents-killed)))

	for _, p := range s.agents[:killed] {
		p.start()
	}
	g.Eventually(sessions, "20s", "200ms").Should(HaveEach(size))
	s.expectJobs(t, 2)
}

// expectJobs submits a job at each entry at the same time and expects all of them to
// complete.
func (s *system) expectJobs(t *testing.T, round int) {
	var wg sync.WaitGroup
	answers := make([]answer, len(s.entries))
	for i, p := range s.entries {
		wg.Add(1)
		go func() {
			defer wg.Done()
			answers[i] = s.post(t.Context(), p, fmt.Sprintf("%08x%08x", round, i), 4, 60, 2000, "ok")
		}()
	}
	wg.Wait()
	NewWithT(t).Expect(answers).To(HaveEach(answer{code: 200, state: "completed"}))
}
