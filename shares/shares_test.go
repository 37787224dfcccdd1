package shares_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/capacity"
	"github.com/chestnuthollow/chestnuthollow/shares"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// oneSlot is a server that runs one task at a time and is busy for 100 ms.
func oneSlot() *capacity.Timeline {
	return capacity.New(0, []capacity.Release{{At: 100 * time.Millisecond, CPU: 1000}})
}

func waiting(rank shares.Rank, withinMs int) shares.Waiting {
	return shares.Waiting{Rank: rank, CPU: 1000, RunTime: 100 * time.Millisecond, Within: time.Duration(withinMs) * time.Millisecond}
}

// While all can start in time, priority makes no one late.
func TestTasksStartByLatestStartWhileAllAreInTime(t *testing.T) {
	g := NewWithT(t)
	order, deferred := shares.Order([]shares.Waiting{waiting(7, 150), waiting(1, 250), waiting(4, 350)}, oneSlot)
	g.Expect(order).To(Equal([]int{0, 1, 2}))
	g.Expect(deferred).To(BeZero())
}

// A surge of long work, then of short: the short one, of higher priority, does not wait.
func TestLowerRanksGiveWayUnderShortage(t *testing.T) {
	g := NewWithT(t)
	order, deferred := shares.Order([]shares.Waiting{waiting(7, 120), waiting(1, 130), waiting(7, 220)}, oneSlot)
	g.Expect(order).To(Equal([]int{1, 2, 0}), "the second long task still starts in time")
	g.Expect(deferred).To(Equal(1))
}

// Entries without ranks send zero for all: the order is that of the latest starts.
func TestOneRankKeepsOrder(t *testing.T) {
	g := NewWithT(t)
	order, deferred := shares.Order([]shares.Waiting{waiting(0, 120), waiting(0, 130)}, oneSlot)
	g.Expect(order).To(Equal([]int{0, 1}))
	g.Expect(deferred).To(BeZero())
}

func TestTaskIsAdmittedToQueueByRank(t *testing.T) {
	g := NewWithT(t)
	queue := []shares.Waiting{waiting(4, 120)}
	g.Expect(shares.Admits(queue, waiting(1, 130), oneSlot)).To(BeTrue(), "the queued one gives way")
	g.Expect(shares.Admits(queue, waiting(7, 110), oneSlot)).To(BeFalse(), "would make the queued one late")
	g.Expect(shares.Admits(queue, waiting(7, 230), oneSlot)).To(BeTrue())
	g.Expect(shares.Admits(queue, waiting(4, 130), oneSlot)).To(BeFalse())
}

// ask submits a job a 100 ms for a second, of which the ledger serves some.
func ask(l *shares.Ledger, d shares.Demand, served int) time.Time {
	now := start
	for i := range 10 {
		now = now.Add(100 * time.Millisecond)
		l.Ask(now, d)
		if i < served {
			l.Serve(now, d)
		}
	}
	return now
}

var (
	urgent = shares.Demand{Queue: "urgent", Priority: 0, Tasks: 8, Work: 1}
	long   = shares.Demand{Queue: "long", Priority: 2, Tasks: 4, Work: 1}
)

// Both at once: what the long queue got above its share returns to the urgent one within
// 100 ms of its asking for it, and only then.
func TestLentCapacityReturns(t *testing.T) {
	g := NewWithT(t)
	var l shares.Ledger
	now := ask(&l, long, 10)
	g.Expect(l.Exceeds(now, "long")).To(BeFalse(), "nobody else asks")
	ask(&l, urgent, 2)
	now = now.Add(100 * time.Millisecond)
	g.Expect(l.Exceeds(now, "long")).To(BeTrue())
	g.Expect(l.Exceeds(now, "urgent")).To(BeFalse())
}

// Below its floor a queue is owed capacity, whatever the others ask for.
func TestFloorIsHeld(t *testing.T) {
	g := NewWithT(t)
	var l shares.Ledger
	now := ask(&l, long, 4)
	ask(&l, urgent, 8)
	g.Expect(l.Owes(now, long)).To(BeTrue())
	g.Expect(l.Exceeds(now, "long")).To(BeFalse())
	g.Expect(l.Owes(now, urgent)).To(BeFalse())
}

// Large jobs rarely find room for all of their tasks at once.
func TestLargeJobsAreOwedAsMuchAsSmallOnes(t *testing.T) {
	g := NewWithT(t)
	var l shares.Ledger
	large := urgent
	large.Tasks, large.Work = 30, 2
	ask(&l, urgent, 10)
	now := ask(&l, large, 5)
	g.Expect(l.Owes(now, large)).To(BeTrue())
	g.Expect(l.Owes(now, urgent)).To(BeFalse())
}

// An entry that has just started knows no usual demand: it takes none for a surplus.
func TestSurplusIsDemandAboveUsual(t *testing.T) {
	g := NewWithT(t)
	var l shares.Ledger
	now := start
	step := func(n int, jobs int) {
		for range n {
			now = now.Add(100 * time.Millisecond)
			for range jobs {
				l.Ask(now, long)
			}
		}
	}
	step(60, 1)
	step(20, 8)
	g.Expect(l.Surplus(now, "long")).To(BeFalse())
	step(200, 1)
	g.Expect(l.Surplus(now, "long")).To(BeFalse())
	step(30, 4)
	g.Expect(l.Surplus(now, "long")).To(BeTrue())
	g.Expect(shares.RankOf(1, false, true)).To(BeNumerically(">", shares.RankOf(1, false, false)))
	g.Expect(shares.RankOf(1, true, false)).To(BeNumerically("<", shares.RankOf(1, false, false)))
	g.Expect(shares.RankOf(1, true, false)).To(BeNumerically(">", shares.RankOf(0, false, true)))
}
