package intake

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func newTestClaim(began time.Time, receivedBytes int64) *claim {
	c := newClaim(began, func() error { return nil })
	c.received = receivedBytes
	return c
}

// Guards against slow bodies that keep others from being read, and against bodies that are given up although
// they arrive faster than others, have arrived, or have only begun.
func TestBodiesThatAreGivenUp(t *testing.T) {
	const capacity = 1000
	type body struct {
		age      time.Duration
		received int64
		held     int64
		complete bool
	}
	for name, test := range map[string]struct {
		bodies    []body
		asks      int64
		answer    answer
		abandoned []int
	}{
		"room":                          {[]body{{5 * time.Second, 1, 500, false}}, 500, granted, nil},
		"slowest":                       {[]body{{2 * time.Second, 400, 500, false}, {2 * time.Second, 100, 500, false}}, 300, waiting, []int{1}},
		"older of equally slow":         {[]body{{2 * time.Second, 0, 500, false}, {3 * time.Second, 0, 500, false}}, 300, waiting, []int{1}},
		"as many as are needed":         {[]body{{2 * time.Second, 30, 400, false}, {2 * time.Second, 20, 300, false}, {2 * time.Second, 10, 300, false}}, 600, waiting, []int{2, 1}},
		"young ones stay":               {[]body{{paceGrace - 1, 0, 1000, false}}, 100, refused, nil},
		"complete ones stay":            {[]body{{time.Minute, 1000, 1000, true}}, 100, refused, nil},
		"none if they are not enough":   {[]body{{2 * time.Second, 0, 100, false}, {0, 0, 900, false}}, 200, refused, nil},
		"more than there is altogether": {nil, capacity + 1, refused, nil},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b := newBudget(capacity)
			now := start.Add(time.Hour)
			var claims []*claim
			for _, o := range test.bodies {
				c := newTestClaim(now.Add(-o.age), o.received)
				a, _ := b.ask(c.began, c, o.held)
				g.Expect(a).To(Equal(granted))
				c.complete = o.complete
				claims = append(claims, c)
			}
			asking := newTestClaim(now, 0)
			a, abandoned := b.ask(now, asking, test.asks)
			g.Expect(a).To(Equal(test.answer))
			var want []*claim
			for _, i := range test.abandoned {
				want = append(want, claims[i])
			}
			g.Expect(abandoned).To(Equal(want))
			for _, c := range abandoned {
				b.giveBack(c, c.held)
			}
			if a == waiting {
				g.Expect(asking.granted).To(Receive())
				g.Expect(asking.held).To(Equal(test.asks))
			}
			g.Expect(b.used).To(BeNumerically("<=", capacity))
		})
	}
}

// Guards against a body that waits for memory behind a slower one, and is given up for itself.
func TestSlowestBodyThatAsksIsRefused(t *testing.T) {
	g := NewWithT(t)
	b := newBudget(100)
	now := start.Add(time.Hour)
	slow, fast := newTestClaim(now.Add(-2*time.Second), 10), newTestClaim(now.Add(-2*time.Second), 60)
	b.ask(now, slow, 30)
	b.ask(now, fast, 60)
	a, abandoned := b.ask(now, slow, 60)
	g.Expect(a).To(Equal(refused))
	g.Expect(abandoned).To(BeEmpty())
	a, abandoned = b.ask(now, fast, 40)
	g.Expect(a).To(Equal(waiting))
	g.Expect(abandoned).To(ConsistOf(slow))
}

// Guards against memory that is granted twice or never returned, and against a body that waits for ever,
// whatever bodies do.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 1000
		b := newBudget(capacity)
		now := start
		var claims []*claim
		bytes := rapid.Int64Range(1, capacity+100)
		any := func(t *rapid.T) *claim {
			if len(claims) == 0 {
				t.Skip("no claim")
			}
			return rapid.SampledFrom(claims).Draw(t, "claim")
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(*rapid.T) { claims = append(claims, newTestClaim(now, 0)) },
			"ask": func(t *rapid.T) {
				c := any(t)
				if c.wanted > 0 || c.complete {
					t.Skip("does not ask")
				}
				select {
				case <-c.granted:
				default:
				}
				a, abandoned := b.ask(now, c, bytes.Draw(t, "bytes"))
				if a == refused && len(abandoned) > 0 {
					t.Fatal("bodies are given up for one that is refused")
				}
				for _, other := range abandoned {
					if other == c || other.complete || now.Sub(other.began) < paceGrace {
						t.Fatalf("given up: %+v", other)
					}
				}
				if a == granted && c.wanted > 0 {
					t.Fatal("granted, and waits")
				}
			},
			"receive": func(t *rapid.T) { any(t).received += bytes.Draw(t, "bytes") },
			"complete": func(t *rapid.T) {
				if c := any(t); c.wanted == 0 && !c.abandoned {
					c.complete = true
				}
			},
			"give back": func(t *rapid.T) {
				c := any(t)
				b.withdraw(c)
				if c.held > 0 {
					b.giveBack(c, rapid.Int64Range(1, c.held).Draw(t, "bytes"))
				}
			},
			"withdraw": func(t *rapid.T) { b.withdraw(any(t)) },
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				held := int64(0)
				for _, c := range claims {
					if held += c.held; c.held < 0 {
						t.Fatalf("a body holds %d bytes", c.held)
					}
					if _, known := b.claims[c]; known != (c.held > 0 || c.wanted > 0) {
						t.Fatalf("known %t: %+v", known, c)
					}
				}
				if held != b.used || held > capacity {
					t.Fatalf("%d bytes held, %d counted, of %d", held, b.used, int64(capacity))
				}
				if len(b.queue) > 0 && b.used == 0 {
					t.Fatal("a body waits although nothing is held")
				}
			},
		})
	})
}
