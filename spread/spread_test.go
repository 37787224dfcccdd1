package spread_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/spread"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A herd: eight entries that know the same states chose the same freest server.
func TestEntriesDoNotChooseTheSameServer(t *testing.T) {
	g := NewWithT(t)
	servers := make([]spread.Server, 50)
	for i := range servers {
		servers[i] = spread.Server{Spare: 10_000, Weight: float64(i)}
	}
	chosen := make(map[int]int)
	for seed := range uint64(8) {
		i, ok := spread.NewChooser(seed).Choose(servers)
		g.Expect(ok).To(BeTrue())
		chosen[i]++
	}
	g.Expect(len(chosen)).To(BeNumerically(">=", 6))
}

// Demand that moves between zones: the own zone comes first, and the others before it is full.
func TestOtherZonesAreUsedWhenTheOwnHasNoSpareCapacity(t *testing.T) {
	g := NewWithT(t)
	c := spread.NewChooser(1)
	servers := []spread.Server{{Spare: 30_000, Weight: 0.9}, {Local: true, Spare: 0, Weight: 0.1}}
	for range 20 {
		i, ok := c.Choose(servers)
		g.Expect(ok).To(BeTrue())
		g.Expect(i).To(Equal(1))
	}
	servers[1].Spare = -1
	i, ok := c.Choose(servers)
	g.Expect(ok).To(BeTrue())
	g.Expect(i).To(Equal(0))
	servers[0].Spare = -1
	_, ok = c.Choose(servers)
	g.Expect(ok).To(BeFalse())
}

// A swing of the demand is learned within seconds, and an agent that restarts counts from
// zero again.
func TestFlowFollowsTheRateOfOthers(t *testing.T) {
	g := NewWithT(t)
	var f spread.Flow
	at, total := now, uint64(0)
	observe := func(perSecond uint64) {
		at, total = at.Add(100*time.Millisecond), total+perSecond/10
		f.Observe(at, total)
	}
	f.Observe(at, total)
	g.Expect(f.Expected(time.Second)).To(BeZero())
	for range 30 {
		observe(200_000)
	}
	g.Expect(f.PerSecond()).To(BeNumerically("~", 200_000, 1))
	for range 30 {
		observe(400_000)
	}
	g.Expect(f.Expected(100 * time.Millisecond)).To(BeNumerically("~", 40_000, 1000))
	f.Observe(at.Add(time.Second), 0)
	g.Expect(f.PerSecond()).To(BeNumerically("~", 390_000, 10_000), "a restart is no work of others")
}

// Servers that reset connections: a start is sent up to three times there, and renewals of
// the lease fail.
func TestUnreliableServersAreLast(t *testing.T) {
	g := NewWithT(t)
	c := spread.NewChooser(1)
	servers := []spread.Server{{Local: true, Unreliable: true, Spare: 9000, Weight: 1}, {Spare: 1000, Weight: 0.1}}
	for range 20 {
		i, ok := c.Choose(servers)
		g.Expect(ok).To(BeTrue())
		g.Expect(i).To(Equal(1))
	}
	i, ok := c.Choose(servers[:1])
	g.Expect(ok).To(BeTrue())
	g.Expect(i).To(Equal(0), "better than none")
}
