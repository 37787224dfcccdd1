package e2e_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/agent"
	"github.com/chestnuthollow/chestnuthollow/standin/logserver"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// inForceBound is the stated target: an accepted edit is in force at all
// connected processes within it.
const inForceBound = 16 * time.Second

// sighting is the revision in force at one run of a process at one time.
type sighting struct {
	process  string
	revision uint64
	editID   string // of entries only
	at       time.Time
}

// watch looks at every process again and again until it is stopped.
type watch struct {
	c    *cluster
	stop chan struct{}
	wait sync.WaitGroup

	mu   sync.Mutex
	seen []sighting
}

func (c *cluster) startWatch() *watch {
	w := &watch{c: c, stop: make(chan struct{})}
	for _, e := range c.entries {
		w.wait.Go(func() { w.loop(func() { w.lookAtEntry(e) }) })
	}
	for _, a := range c.agents {
		w.wait.Go(func() { w.loop(func() { w.lookAtAgent(a) }) })
	}
	return w
}

func (w *watch) loop(look func()) {
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(poll):
			look()
		}
	}
}

func (w *watch) caller() *caller {
	k := newCaller(w.c, &history{})
	k.http.Timeout = time.Second
	return k
}

func (w *watch) add(s sighting) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s.at = time.Now()
	w.seen = append(w.seen, s)
}

func (w *watch) lookAtEntry(e *daemon) {
	var r structs.DocumentRecord
	if code, _ := w.caller().do(http.MethodGet, e.url()+"/v1/services/"+serviceName, nil, &r); code == http.StatusOK {
		w.add(sighting{process: e.name, revision: r.Revision, editID: r.EditID})
	}
}

func (w *watch) lookAtAgent(a *daemon) {
	var d agent.Dump
	code, _ := w.caller().do(http.MethodGet, a.url()+"/debug/dump", nil, &d)
	if code == http.StatusOK && d.State.Revision > 0 {
		w.add(sighting{process: a.name, revision: d.State.Revision})
	}
}

func (w *watch) end() []sighting {
	close(w.stop)
	w.wait.Wait()
	return w.seen
}

// edit is one edit of an operator.
type edit struct {
	id       string
	base     uint64
	accepted uint64 // revision; zero if it was not accepted
	at       time.Time
}

// race has two operators edit through two entries at once, each based on the
// newest revision that it sees. It returns the edits that were accepted.
func (c *cluster) race(round int) []edit {
	var wait sync.WaitGroup
	edits := make([]edit, 2)
	for i := range edits {
		e := c.entries[i%len(c.entries)]
		edits[i].id = fmt.Sprintf("edit-%d-%d", round, i)
		wait.Go(func() { c.publishThrough(e, &edits[i]) })
	}
	wait.Wait()
	return edits
}

func (c *cluster) publishThrough(e *daemon, ed *edit) {
	k := newCaller(c, &history{})
	url := e.url() + "/v1/services/" + serviceName
	var now, next structs.DocumentRecord
	if code, _ := k.do(http.MethodGet, url, nil, &now); code != http.StatusOK {
		return
	}
	ed.base = now.Revision
	body := structs.Edit{EditID: ed.id, Base: now.Revision, Text: document(fmt.Sprintf("# %s\n", ed.id))}
	code, _ := k.do(http.MethodPut, url, body, &next)
	if code == http.StatusOK {
		ed.accepted, ed.at = next.Revision, time.Now()
	}
}

func (c *cluster) logFaults(f logserver.Faults) {
	c.t.Helper()
	k := newCaller(c, &history{})
	var reply any
	code, refused := k.do(http.MethodPut, c.log.url()+logserver.FaultsPath, f, &reply)
	c.g.Expect(code).To(BeNumerically("<", 300), "%v", refused)
}

// TestDocumentsNeverRevert has operators race through different entries while
// the log is slow, deaf, down and forgetful, an entry is frozen and all entries
// are replaced in a row. No process ever goes back, each revision is one edit
// everywhere, and an accepted edit is in force everywhere within the target.
func TestDocumentsNeverRevert(t *testing.T) {
	t.Parallel()
	c := newSystem(t)
	w := c.startWatch()
	var edits []edit
	round := func() {
		edits = append(edits, c.race(len(edits))...)
	}
	round()
	c.logFaults(logserver.Faults{DeafAppends: 2})
	round()
	c.logFaults(logserver.Faults{Delay: logserver.Duration(time.Second)})
	round()
	c.logFaults(logserver.Faults{Down: true})
	round()
	c.logFaults(logserver.Faults{})
	round()
	freeze(shortFreeze, c.entries[0])
	round()
	for _, e := range c.entries {
		e.restart()
		e.ready()
		round()
	}
	c.logFaults(logserver.Faults{KeepRecords: 20})
	round()
	c.inForceEverywhere(lastRevision(edits))
	c.checkSightings(w.end(), edits)
}

func lastRevision(edits []edit) uint64 {
	last := uint64(0)
	for _, e := range edits {
		last = max(last, e.accepted)
	}
	return last
}

func (c *cluster) inForceEverywhere(revision uint64) {
	c.t.Helper()
	w := &watch{c: c}
	c.g.Eventually(func(g Gomega) {
		w.seen = nil
		for _, e := range c.entries {
			w.lookAtEntry(e)
		}
		for _, a := range c.agents {
			w.lookAtAgent(a)
		}
		g.Expect(w.seen).To(HaveLen(len(c.entries) + len(c.agents)))
		for _, s := range w.seen {
			g.Expect(s.revision).To(BeNumerically(">=", revision), s.process)
		}
	}, patience, poll).Should(Succeed(), "revision %d", revision)
}

// checkSightings judges the history of revisions in force.
func (c *cluster) checkSightings(seen []sighting, edits []edit) {
	c.t.Helper()
	winners := make(map[uint64]string)
	latest := make(map[string]uint64)
	first := make(map[string]map[uint64]time.Time)
	for _, s := range seen {
		if s.revision < latest[s.process] {
			c.t.Errorf("%s went back from revision %d to %d", s.process, latest[s.process], s.revision)
		}
		latest[s.process] = s.revision
		if s.editID != "" {
			if other := winners[s.revision]; other != "" && other != s.editID {
				c.t.Errorf("revision %d is %s at one entry and %s at %s", s.revision, other, s.editID, s.process)
			}
			winners[s.revision] = s.editID
		}
		if first[s.process] == nil {
			first[s.process] = make(map[uint64]time.Time)
		}
		if _, ok := first[s.process][s.revision]; !ok {
			first[s.process][s.revision] = s.at
		}
	}
	based := make(map[uint64]string)
	accepted, slowest := 0, time.Duration(0)
	for _, e := range edits {
		if e.accepted == 0 {
			continue
		}
		accepted++
		if other := based[e.base]; other != "" {
			c.t.Errorf("%s and %s, both based on revision %d, were accepted", other, e.id, e.base)
		}
		based[e.base] = e.id
		if id, ok := winners[e.accepted]; ok && id != e.id {
			c.t.Errorf("%s was accepted as revision %d, which is %s", e.id, e.accepted, id)
		}
		for process, times := range first {
			slowest = max(slowest, inForceAfter(e, times))
			if took := inForceAfter(e, times); took > inForceBound {
				c.t.Errorf("%s in force at %s after %v, the target is %v", e.id, process, took, inForceBound)
			}
		}
	}
	c.g.Expect(accepted).To(BeNumerically(">=", 3))
	c.t.Logf("%d edits, %d accepted, %d sightings; slowest in force after %v", len(edits), accepted, len(seen), slowest)
}

// inForceAfter is how long after its acceptance an edit, or a later one, was
// first seen at a process.
func inForceAfter(e edit, times map[uint64]time.Time) time.Duration {
	best := time.Duration(-1)
	for revision, at := range times {
		if took := max(at.Sub(e.at), 0); revision >= e.accepted && (best < 0 || took < best) {
			best = took
		}
	}
	return best
}
