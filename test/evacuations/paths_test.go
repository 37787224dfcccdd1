package evacuations_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const (
	// evacuationBound is the platform's bound for an evacuation to be in force, and
	// stableWindow how long a path has to be whole for a process to be held to it.
	evacuationBound = 5 * time.Second
	stableWindow    = 4 * time.Second
)

// inBubble runs f with virtual time, and ends all that it started.
func inBubble(t *testing.T, f func(t *testing.T, ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			time.Sleep(time.Second) // calls in progress end
		}()
		f(t, ctx)
	})
}

// change cuts or heals a path, or evacuates or restores the zone, after a pause.
type change struct {
	after time.Duration
	path  int // index; past the last one stands for the zone
	on    bool
}

// paths returns all paths of the model.
func (m *model) paths() []*path {
	var all []*path
	for _, e := range m.entries {
		all = append(all, e.store)
	}
	for _, a := range m.agents {
		all = append(all, a.store)
		for _, l := range a.links {
			all = append(all, l.path)
		}
	}
	return all
}

// Guards against starts in an evacuated zone, and against a zone that stays empty, wherever a
// path to the topic is whole: the agent's own, or one through an entry.
func TestEvacuationReachesAgentsByEachWholePath(t *testing.T) {
	const entries, agents, paths = 2, 2, 2 + 2*(1+2)
	rapid.Check(t, func(r *rapid.T) {
		changes := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) change {
			return change{
				after: time.Duration(rapid.IntRange(0, 60).Draw(r, "after")) * tick,
				path:  rapid.IntRange(0, paths+2).Draw(r, "path"), on: rapid.Bool().Draw(r, "on"),
			}
		}), 1, 40).Draw(r, "changes")
		failure := ""
		inBubble(t, func(_ *testing.T, ctx context.Context) {
			m := newModel(ctx, entries, agents)
			evacuated, since := false, time.Now()
			check := func() {
				for i, a := range m.agents {
					if failure != "" || time.Since(since) <= evacuationBound || !a.inTouch(stableWindow) {
						continue
					}
					if evacuated && a.mayStart() {
						failure = fmt.Sprintf("agent %d may start tasks %v after the evacuation", i, time.Since(since))
					}
					if !evacuated && a.zoneEvacuated() {
						failure = fmt.Sprintf("agent %d takes its zone for evacuated %v after it was restored", i, time.Since(since))
					}
				}
			}
			m.play(time.Second, check)
			for _, c := range changes {
				m.play(c.after, check)
				if c.path < paths {
					m.paths()[c.path].setCut(c.on)
				} else if evacuated != c.on {
					evacuated, since = c.on, time.Now()
					m.evacuate(c.on)
				}
			}
			m.play(evacuationBound+stableWindow, check)
		})
		if failure != "" {
			r.Fatal(failure)
		}
	})
}

// Guards against an outage of the store that becomes one of the service, and against agents
// that fill its limit of calls meanwhile.
func TestOutageOfTheStoreStopsNothing(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		g := NewWithT(t)
		m := newModel(ctx, 2, 1)
		a := m.agents[0]
		m.play(2*time.Second, func() {})
		for _, e := range m.entries {
			e.store.setCut(true)
		}
		a.store.setCut(true)
		m.play(20*time.Second, func() { g.Expect(a.mayStart()).To(BeTrue()) })
		g.Expect(a.store.callCount()).To(BeNumerically("<=", 18/2+4), "one call in two seconds, and the first retries")
	})
}

// Guards against calls to the store, which are priced, that nothing is gained from.
func TestAgentsReadNothingWhileAnEntryHearsTheTopic(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		g := NewWithT(t)
		m := newModel(ctx, 2, 1)
		a := m.agents[0]
		m.play(5*time.Second, func() {})
		m.entries[0].store.setCut(true)
		m.play(10*time.Second, func() {})
		g.Expect(a.watchCount()).To(BeZero(), "one entry of two is cut off")
		m.entries[0].store.setCut(false)
		m.play(2*time.Second, func() {})
		for range 5 {
			for _, e := range m.entries {
				e.store.setCut(true)
			}
			m.play(500*time.Millisecond, func() {})
			for _, e := range m.entries {
				e.store.setCut(false)
			}
			m.play(3*time.Second, func() {})
		}
		g.Expect(a.watchCount()).To(BeZero(), "short cuts")
	})
}

// Guards against entries that go on ordering tasks in an evacuated zone, or hold jobs that fit
// nowhere else, while only agents hear the topic.
func TestEntriesLearnFromAgentsThatRead(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		g := NewWithT(t)
		m := newModel(ctx, 2, 2)
		m.play(2*time.Second, func() {})
		for _, e := range m.entries {
			e.store.setCut(true)
		}
		m.evacuate(true)
		m.play(evacuationBound, func() {})
		for _, e := range m.entries {
			view, unheard := e.view()
			g.Expect(view.Zones).To(Equal([]string{zone}))
			g.Expect(unheard).NotTo(BeZero(), "what agents say is no reply of the topic")
		}
	})
}

// Guards against retries so rare that an agent whose path is whole again learns too late.
func TestAgentReadsSoonAfterLongOutage(t *testing.T) {
	for outage := 10 * time.Second; outage < 30*time.Second; outage += 2 * time.Second {
		inBubble(t, func(t *testing.T, ctx context.Context) {
			g := NewWithT(t)
			m := newModel(ctx, 2, 1)
			a := m.agents[0]
			m.play(2*time.Second, func() {})
			for _, e := range m.entries {
				e.store.setCut(true)
			}
			a.store.setCut(true)
			m.evacuate(true)
			m.play(outage, func() {})
			a.store.setCut(false)
			m.play(stableWindow, func() {})
			g.Expect(a.mayStart()).To(BeFalse(), "after an outage of %v", outage)
		})
	}
}
