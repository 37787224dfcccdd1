package attempts_test

import (
	"testing"

	"github.com/chestnuthollow/chestnuthollow/attempts"
)

const (
	// exploredEvents bounds the events of an explored history.
	exploredEvents = 20
	// exploredStarts and exploredBoots bound the starts that are sent for the run, and the
	// incarnations of the server.
	exploredStarts = 3
	exploredBoots  = 3
)

// copyState is where a start is.
type copyState uint8

const (
	unsent   copyState = iota
	inFlight           // its call has not ended, nothing was carried out
	executed           // carried out, its call has not ended
	held               // its call has ended without a reply; the incarnation may still carry it out
	gone               // without further effect, its call has ended
)

// world is the truth about one run, which the agent sees only through replies.
type world struct {
	copies [exploredStarts]copyState
	boot   int64 // current incarnation of the server
	runs   bool  // the run is running
	used   bool  // the current incarnation starts the run no more
	endRow bool  // the current incarnation lists its end
	ran    bool  // the run has started at some incarnation
	// settled means that no start is sent any more: one was answered with success, or the
	// leases have expired.
	settled bool

	// What the agent knows besides the log.
	knownBoot int64
	stopAcked bool // by the known incarnation, or by a newer one
}

// history is a state of the exploration: the truth and what the rule under test made of
// the replies.
type history[R comparable] struct {
	world world
	rule  R
}

// rule is the interface of attempts.Log, so that a rule of an earlier build can be explored.
type rule[R any] interface {
	*R
	Sent()
	Answered(attempts.Answer, int64)
	Listed(int64)
	Ended()
	Fenced(complete bool)
	LeaseExpired(int64)
	LongestLeaseExpired()
	ServerReplaced(int64)
	Verdict() attempts.Verdict
}

// mayStart reports whether a copy may still be carried out.
func (w *world) mayStart() bool {
	for _, c := range w.copies {
		if c == inFlight || c == held && !w.used {
			return true
		}
	}
	return false
}

// untruth returns how a verdict contradicts the truth, or an empty string.
func (w *world) untruth(v attempts.Verdict) string {
	switch {
	case v == attempts.NeverStarted && w.ran:
		return "said to have never started, but it has"
	case v != attempts.Open && w.runs:
		return "said to be over, but it runs"
	case v != attempts.Open && w.mayStart():
		return "said to be over, but it may still start"
	}
	return ""
}

// start carries out a start at the current incarnation.
func (w *world) start() (accepted bool) {
	switch {
	case w.runs:
		return true
	case w.used:
		return false
	}
	w.runs, w.ran = true, true
	return true
}

func (w *world) end() { w.runs, w.used, w.endRow = false, true, true }

// expire ends the leases at the current incarnation. The starts that were sent for it are
// rejected as late.
func (w *world) expire() {
	for i := range w.copies {
		if w.copies[i] == held {
			w.copies[i] = gone
		}
	}
	if w.runs {
		w.end()
	}
	w.used = true
}

// step is one event of a history.
type step[R comparable] struct {
	name string
	next history[R]
}

// steps returns the histories that follow from h by one event.
func steps[R comparable, P rule[R]](h history[R]) []step[R] {
	var list []step[R]
	add := func(name string, event func(w *world, r P)) {
		next := h
		event(&next.world, P(&next.rule))
		if next != h {
			list = append(list, step[R]{name, next})
		}
	}
	for i, c := range h.world.copies {
		switch c {
		case unsent:
			if !h.world.settled && (i == 0 || h.world.copies[i-1] == held || h.world.copies[i-1] == gone) {
				add("send", func(w *world, r P) { w.copies[i] = inFlight; r.Sent() })
			}
		case inFlight:
			add("200, or 409 old", func(w *world, r P) {
				w.copies[i] = gone
				if w.start() {
					w.settled = true
					r.Answered(attempts.Accepted, w.boot)
					return
				}
				r.Answered(attempts.Rejected, w.boot)
				if P(&h.rule).Verdict() == attempts.Open && !w.endRow {
					r.Listed(w.knownBoot)
				}
			})
			add("carried out", func(w *world, _ P) { w.copies[i] = executed; w.start() })
			// 400, 409 of another reason, 421, 429, 503, or a refused connection.
			add("rejected", func(w *world, r P) { w.copies[i] = gone; r.Answered(attempts.Rejected, w.boot) })
			add("no reply, carried out late", func(w *world, r P) { w.copies[i] = held; r.Answered(attempts.Unanswered, 0) })
			add("reset", func(w *world, r P) { w.copies[i] = gone; r.Answered(attempts.Unanswered, 0) })
		case executed:
			add("reply lost", func(w *world, r P) { w.copies[i] = gone; r.Answered(attempts.Unanswered, 0) })
			add("reply", func(w *world, r P) { w.copies[i], w.settled = gone, true; r.Answered(attempts.Accepted, w.boot) })
		case held:
			add("late execution", func(w *world, _ P) { w.copies[i] = gone; w.start() })
		}
	}
	if h.world.runs {
		add("end", func(w *world, _ P) { w.end() })
	}
	add("reboot", func(w *world, _ P) {
		if w.boot == exploredBoots {
			return
		}
		w.boot++
		w.runs, w.used, w.endRow = false, false, false
		for i := range w.copies {
			if w.copies[i] == held {
				w.copies[i] = gone
			}
		}
	})
	add("stop acknowledged", func(w *world, _ P) {
		if w.runs {
			w.end()
		}
		w.used, w.stopAcked = true, true
	})
	add("lease renewed", func(w *world, r P) {
		if w.knownBoot != w.boot {
			w.knownBoot, w.stopAcked = w.boot, false
			r.ServerReplaced(w.boot)
		}
		switch {
		case w.endRow:
			r.Ended()
		case w.runs:
			r.Listed(w.boot)
		case w.stopAcked:
			r.Fenced(true)
		}
	})
	add("lease end", func(w *world, r P) {
		w.settled = true
		if w.knownBoot == w.boot {
			w.expire()
		}
		r.LeaseExpired(w.knownBoot)
	})
	add("longest lease end", func(w *world, r P) {
		for _, c := range w.copies {
			if c == inFlight || c == executed {
				return // the calls end long before
			}
		}
		w.settled = true
		w.expire()
		r.LongestLeaseExpired()
	})
	return list
}

// explore visits all histories of up to exploredEvents events, and returns their number
// and the events of a shortest one in which the rule is wrong, if there is one.
func explore[R comparable, P rule[R]]() (states int, fault []string) {
	type origin struct {
		from history[R]
		name string
	}
	first := history[R]{world: world{boot: 1, knownBoot: 1}}
	origins := map[history[R]]origin{first: {}}
	frontier := []history[R]{first}
	for depth := 0; len(frontier) > 0; depth++ {
		var next []history[R]
		for _, h := range frontier {
			if wrong := h.world.untruth(P(&h.rule).Verdict()); wrong != "" {
				for at := h; at != first; at = origins[at].from {
					fault = append([]string{origins[at].name}, fault...)
				}
				return len(origins), append(fault, wrong)
			}
			if depth == exploredEvents {
				continue
			}
			for _, s := range steps[R, P](h) {
				if _, known := origins[s.next]; !known {
					origins[s.next] = origin{from: h, name: s.name}
					next = append(next, s.next)
				}
			}
		}
		frontier = next
	}
	return len(origins), nil
}

// Guards against a run that is reported as not started, or gives its capacity back,
// although it runs or may still start, in any order of lost replies, late executions,
// rejections, reboots, stops and lease ends.
func TestVerdictsAreTrueInAllOrders(t *testing.T) {
	states, fault := explore[attempts.Log]()
	t.Logf("%d states, up to %d events, %d starts, %d incarnations", states, exploredEvents, exploredStarts, exploredBoots)
	if fault != nil {
		t.Errorf("%q", fault)
	}
}

// newestAnswerRule lets the newest answer alone decide: a rejection means that the run has
// not started.
type newestAnswerRule struct{ attempts.Log }

func (r *newestAnswerRule) Answered(a attempts.Answer, incarnation int64) {
	if a == attempts.Rejected {
		r.Log = attempts.Log{}
		return
	}
	r.Log.Answered(a, incarnation)
}

// lostWithServerRule forgets at a change of the server that a start without a reply may
// have been carried out by the earlier incarnation.
type lostWithServerRule struct{ attempts.Log }

func (r *lostWithServerRule) ServerReplaced(known int64) {
	if r.Pending() == 0 {
		r.Log.ServerReplaced(known)
	}
}

// knownClockRule ends all runs with the leases by the clock of the known incarnation.
type knownClockRule struct{ attempts.Log }

func (r *knownClockRule) LeaseExpired(int64) { r.Log.LongestLeaseExpired() }

// Guards against an exploration that would not find the faults that it was made for.
func TestExplorationFindsEarlierFaults(t *testing.T) {
	for name, find := range map[string]func() (int, []string){
		"newest answer decides":       explore[newestAnswerRule],
		"starts lost with the server": explore[lostWithServerRule],
		"leases by the known clock":   explore[knownClockRule],
	} {
		t.Run(name, func(t *testing.T) {
			states, fault := find()
			if fault == nil {
				t.Fatalf("no fault found in %d states", states)
			}
			t.Logf("after %d states: %q", states, fault)
		})
	}
}
