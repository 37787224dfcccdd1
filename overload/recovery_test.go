package overload_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/overload"
)

// Guards against an entry that rejects every second request for good: after a pause of its
// process the average interval between turns is over the limit of the wait, so that one waiting
// request suffices to reject the next, and the interval is measured only while two wait.
func TestEntryAdmitsAgainAfterPause(t *testing.T) {
	g := NewWithT(t)
	c := overload.NewController()
	now := time.Unix(0, 0)
	for range 3 {
		g.Expect(c.Arrive(now)).To(BeTrue())
	}
	c.Turn(now, 0)
	now = now.Add(3 * time.Second) // the process was paused
	c.Turn(now, 3*time.Second)
	c.Turn(now, 3*time.Second)

	const pairs = 100
	rejected := 0
	for range pairs { // two requests at a time, each with its turn 1 ms after the one before
		now = now.Add(100 * time.Millisecond)
		admitted := 0
		for range 2 {
			if c.Arrive(now) {
				admitted++
			} else {
				rejected++
			}
		}
		for range admitted {
			now = now.Add(time.Millisecond)
			c.Turn(now, time.Millisecond)
		}
	}
	g.Expect(rejected).To(BeNumerically("<", 20), "of %d pairs over 10 s, at a fiftieth of the capacity", pairs)
}
