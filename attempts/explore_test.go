package attempts_test

import (
	"testing"

	"github.com/chestnuthollow/chestnuthollow/attempts"
)

const (
	// exploredEvents bounds the events of an explored history.
	exploredEvents = 24
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

// callState is where a lease renewal or a stop is. At most one of each is under way.
type callState uint8

const (
	noCall  callState = iota
	sent              // not carried out yet
	handled           // carried out, its reply is under way
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

	renewal      callState
	renewalLater bool // no start was answered since it was sent
	renewalFence bool // it was sent after a stop was acknowledged
	listedBy     int64
	listsRun     bool
	listsEnd     bool

	stop      callState
	stopKnown int64 // incarnation that was known when it was sent

	// What the agent knows besides the log.
	knownBoot int64
	endSeen   bool // the end of the run at the known incarnation
	stopAcked bool // by the known incarnation
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
	Listed(int64, bool)
	NumberUsed(int64)
	Ended(int64, bool)
	Missing(later, fenced, complete bool)
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
	addStarts(&h.world, add)
	addRenewals(&h.world, add)
	addStops(&h.world, add)
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

// addStarts adds the events of starts. None is sent while one is in flight.
func addStarts[R any, P rule[R]](h *world, add func(string, func(*world, P))) {
	// answer ends the call of copy i.
	answer := func(w *world, r P, i int, to copyState, a attempts.Answer, incarnation int64) {
		w.copies[i], w.renewalLater = to, false
		r.Answered(a, incarnation)
	}
	accept := func(i int, incarnation int64) func(*world, P) {
		return func(w *world, r P) {
			w.settled = true
			answer(w, r, i, gone, attempts.Accepted, incarnation)
		}
	}
	for i, c := range h.copies {
		switch c {
		case unsent:
			if !h.settled && (i == 0 || h.copies[i-1] == held || h.copies[i-1] == gone) {
				add("send", func(w *world, r P) { w.copies[i] = inFlight; r.Sent() })
			}
		case inFlight:
			if h.used && !h.runs {
				add("409 old", func(w *world, r P) {
					answer(w, r, i, gone, attempts.Rejected, w.boot)
					if r.Verdict() == attempts.Open {
						w.settled = true
						r.NumberUsed(w.boot)
					}
				})
			}
			add("carried out", func(w *world, _ P) {
				if w.start() {
					w.copies[i] = executed
				}
			})
			// 400, 409 of another reason, 421, 429, 503, or a refused connection.
			add("rejected", func(w *world, r P) { answer(w, r, i, gone, attempts.Rejected, w.boot) })
			add("no reply, carried out late", func(w *world, r P) { answer(w, r, i, held, attempts.Unanswered, 0) })
			add("reset", func(w *world, r P) { answer(w, r, i, gone, attempts.Unanswered, 0) })
		case executed:
			add("reply lost", func(w *world, r P) { answer(w, r, i, gone, attempts.Unanswered, 0) })
			add("accepted", accept(i, h.boot))
			add("accepted, unnamed", accept(i, attempts.Unnamed))
		case held:
			add("late execution", func(w *world, _ P) { w.copies[i] = gone; w.start() })
		}
	}
}

// addRenewals adds the events of lease renewals, whose replies list what runs and has ended.
func addRenewals[R any, P rule[R]](h *world, add func(string, func(*world, P))) {
	switch h.renewal {
	case noCall:
		add("renew", func(w *world, _ P) { w.renewal, w.renewalLater, w.renewalFence = sent, true, w.stopAcked })
	case sent:
		add("renewal carried out", func(w *world, _ P) {
			w.renewal, w.listedBy, w.listsRun, w.listsEnd = handled, w.boot, w.runs, w.endRow
		})
	case handled:
		add("renewal answered", func(w *world, r P) {
			later, fenced := w.renewalLater, w.renewalFence
			by, listsRun, listsEnd := w.listedBy, w.listsRun, w.listsEnd
			w.renewal, w.renewalLater, w.renewalFence, w.listedBy, w.listsRun, w.listsEnd = noCall, false, false, 0, false, false
			if by < w.knownBoot {
				return
			}
			if by > w.knownBoot {
				w.knownBoot, w.stopAcked, w.endSeen = by, false, false
				r.ServerReplaced(by)
			}
			if listsEnd && !w.endSeen {
				w.endSeen = true
				r.Ended(by, later)
			}
			if listsRun {
				r.Listed(by, later)
			} else {
				r.Missing(later, fenced && w.stopAcked, true)
			}
		})
	}
}

// addStops adds the events of stops.
func addStops[R any, P rule[R]](h *world, add func(string, func(*world, P))) {
	switch h.stop {
	case noCall:
		if !h.stopAcked {
			add("stop", func(w *world, _ P) { w.stop, w.stopKnown, w.settled = sent, w.knownBoot, true })
		}
	case sent:
		add("stop carried out", func(w *world, _ P) {
			if w.runs {
				w.end()
			}
			w.used, w.stop = true, handled
		})
	case handled:
		add("stop acknowledged", func(w *world, _ P) {
			w.stopAcked = w.stopAcked || w.stopKnown == w.knownBoot
			w.stop, w.stopKnown = noCall, 0
		})
	}
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
	if r.Verdict() != attempts.Open || r.RunningAt() != 0 {
		r.Log.ServerReplaced(known)
	}
}

// knownClockRule ends all runs with the leases by the clock of the known incarnation.
type knownClockRule struct{ attempts.Log }

func (r *knownClockRule) LeaseExpired(int64) { r.Log.LongestLeaseExpired() }

// anyListRule takes each list for later than the starts.
type anyListRule struct{ attempts.Log }

func (r *anyListRule) Missing(_, fenced, complete bool) { r.Log.Missing(true, fenced, complete) }

// Guards against an exploration that would not find the faults that it was made for.
func TestExplorationFindsEarlierFaults(t *testing.T) {
	for name, find := range map[string]func() (int, []string){
		"newest answer decides":       explore[newestAnswerRule],
		"starts lost with the server": explore[lostWithServerRule],
		"leases by the known clock":   explore[knownClockRule],
		"lists from before the start": explore[anyListRule],
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
