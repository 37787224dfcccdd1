package intake

import (
	"slices"
	"time"
)

// paceGrace is the age of a body from which on it may be given up for others. It covers a lost packet.
const paceGrace = time.Second

// claim is the share of a budget that one body holds.
type claim struct {
	began     time.Time
	received  int64 // bytes of the body
	held      int64 // bytes of the budget
	wanted    int64 // bytes that it waits for
	complete  bool  // the whole body was received, so that it is not given up any more
	abandoned bool  // it has to return what it holds

	granted   chan struct{} // receives a value when wanted was granted
	revoked   chan struct{} // closed after abandoned was set
	interrupt func() error  // ends the read of the body that is pending
}

func newClaim(now time.Time, interrupt func() error) *claim {
	return &claim{began: now, granted: make(chan struct{}, 1), revoked: make(chan struct{}), interrupt: interrupt}
}

// pace returns the mean pace at which the body arrives, in bytes a second.
func (c *claim) pace(now time.Time) float64 {
	return float64(c.received) / max(now.Sub(c.began).Seconds(), paceGrace.Seconds())
}

// answer is the answer to a claim that asks for bytes.
type answer int

const (
	granted answer = iota
	waiting        // for abandoned claims, which return what they hold
	refused
)

// budget shares a number of bytes between bodies that are being read. The sum of all claims never exceeds
// it. It is not safe for concurrent use.
type budget struct {
	capacity int64
	used     int64
	claims   map[*claim]struct{} // those that hold or want bytes
	queue    []*claim            // that wait, in the order in which they asked
}

func newBudget(capacity int64) budget {
	return budget{capacity: capacity, claims: make(map[*claim]struct{})}
}

// ask grants n more bytes to a claim, or lets it wait until others have returned them, or refuses them. It
// returns the claims that were abandoned for it. A claim that waits does not ask again.
func (b *budget) ask(now time.Time, c *claim, n int64) (a answer, abandoned []*claim) {
	if c.abandoned {
		return refused, nil
	}
	b.claims[c] = struct{}{}
	if len(b.queue) == 0 && b.used+n <= b.capacity {
		b.grant(c, n)
		return granted, nil
	}
	abandoned, ok := b.makeRoom(now, c, n)
	if !ok {
		b.forget(c)
		return refused, nil
	}
	for _, other := range abandoned {
		other.abandoned = true
		b.unqueue(other)
		b.forget(other)
	}
	c.wanted = n
	b.queue = append(b.queue, c)
	b.serve()
	if c.wanted == 0 {
		<-c.granted
		return granted, abandoned
	}
	return waiting, abandoned
}

// makeRoom returns the claims to be abandoned so that n bytes can be granted to c after all that wait: those
// whose bodies arrive most slowly, of those older than paceGrace. It reports false if these are not enough,
// or if c is one of them.
func (b *budget) makeRoom(now time.Time, c *claim, n int64) ([]*claim, bool) {
	missing := b.used + n - b.capacity
	var candidates []*claim
	for other := range b.claims {
		missing += other.wanted
		if other.abandoned {
			missing -= other.held
		}
		if !other.complete && !other.abandoned && now.Sub(other.began) >= paceGrace {
			candidates = append(candidates, other)
		}
	}
	slices.SortFunc(candidates, func(x, y *claim) int {
		if px, py := x.pace(now), y.pace(now); px != py {
			if px < py {
				return -1
			}
			return 1
		}
		return x.began.Compare(y.began)
	})
	for i, other := range candidates {
		if missing <= 0 {
			return candidates[:i], true
		}
		if other == c {
			return nil, false
		}
		missing -= other.held + other.wanted
	}
	return candidates, missing <= 0
}

func (b *budget) grant(c *claim, n int64) {
	c.held += n
	b.used += n
}

// giveBack returns n bytes of a claim, and grants them to those that wait.
func (b *budget) giveBack(c *claim, n int64) {
	c.held -= n
	b.used -= n
	b.forget(c)
	b.serve()
}

// withdraw ends the wait of a claim. It reports false if what it waits for was granted before.
func (b *budget) withdraw(c *claim) bool {
	if c.wanted == 0 {
		return false
	}
	b.unqueue(c)
	b.forget(c)
	b.serve()
	return true
}

// serve grants what the first ones in the queue wait for.
func (b *budget) serve() {
	for len(b.queue) > 0 && b.used+b.queue[0].wanted <= b.capacity {
		c := b.queue[0]
		b.queue = b.queue[1:]
		b.grant(c, c.wanted)
		c.wanted = 0
		c.granted <- struct{}{}
	}
}

func (b *budget) unqueue(c *claim) {
	if i := slices.Index(b.queue, c); i >= 0 {
		b.queue = slices.Delete(b.queue, i, i+1)
	}
	c.wanted = 0
}

// forget removes a claim that neither holds nor wants bytes.
func (b *budget) forget(c *claim) {
	if c.held == 0 && c.wanted == 0 {
		delete(b.claims, c)
	}
}
