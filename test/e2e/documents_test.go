package e2e_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/client"
	"github.com/chestnuthollow/chestnuthollow/fold"
	"github.com/chestnuthollow/chestnuthollow/platformlog"
	"github.com/chestnuthollow/chestnuthollow/standin/logserver"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const (
	// inForceBound is the target for an accepted edit to be in force at every
	// connected process.
	inForceBound = 16 * time.Second
	editPause    = 100 * time.Millisecond
	// faultTime is how long a fault of these proofs lasts.
	faultTime = 5 * time.Second
)

// processRun is one run of a process, with when it could follow.
type processRun struct {
	*process
	name string
	from time.Time // since then it is undisturbed
	gone bool      // ended by the test
}

// acceptedEdit is an edit whose operator was told that it was accepted.
type acceptedEdit struct {
	record structs.DocumentRecord
	at     time.Time
}

// editing is operators that race each other while processes are disturbed.
type editing struct {
	c    *cluster
	stop chan struct{}
	wait sync.WaitGroup

	mu        sync.Mutex
	accepted  []acceptedEdit
	conflicts int
	runs      []*processRun
}

func (c *cluster) startEditing() *editing {
	e := &editing{c: c, stop: make(chan struct{})}
	for _, d := range append(append([]*daemon(nil), c.entries...), c.agents...) {
		e.runs = append(e.runs, &processRun{process: d.process, name: d.name, from: time.Now()})
	}
	for i := range 3 {
		e.wait.Go(func() { e.operate(i) })
	}
	return e
}

// operate edits the document over and over, at its revision in force.
func (e *editing) operate(i int) {
	var urls []string
	for _, d := range e.c.entries {
		urls = append(urls, d.url())
	}
	k, err := client.New(client.Options{Entries: append(urls[i%len(urls):], urls[:i%len(urls)]...), MaxRetries: 2})
	if err != nil {
		e.c.t.Errorf("client: %v", err)
		return
	}
	defer k.Close()
	for n := 0; ; n++ {
		select {
		case <-e.stop:
			return
		case <-time.After(editPause):
		}
		e.edit(k, fmt.Sprintf("operator-%d-edit-%d", i, n))
	}
}

func (e *editing) edit(k *client.Client, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	current, err := k.Service(ctx, serviceName)
	if err != nil {
		return
	}
	text := document("# " + id + "\n")
	rec, err := k.Apply(ctx, serviceName, structs.Edit{EditID: id, Base: current.Revision, Text: text})
	e.mu.Lock()
	defer e.mu.Unlock()
	if err == nil {
		if rec.Revision != current.Revision+1 {
			e.c.t.Errorf("edit %s on revision %d made revision %d", id, current.Revision, rec.Revision)
		}
		e.accepted = append(e.accepted, acceptedEdit{record: *rec, at: time.Now()})
	} else if client.Verdict(err) == structs.NotRun {
		e.conflicts++
	}
}

// more waits until that many more edits have been accepted.
func (e *editing) more(count int) {
	e.c.t.Helper()
	start := e.count()
	e.c.g.Eventually(e.count, patience, poll).Should(BeNumerically(">=", start+count))
}

func (e *editing) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.accepted)
}

// disturbed says that a fault at a process is over now.
func (e *editing) disturbed(daemons ...*daemon) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, d := range daemons {
		for _, r := range e.runs {
			if r.process == d.process {
				r.from = time.Now()
			}
		}
	}
}

// replace ends a process by end and starts its successor at its addresses.
func (e *editing) replace(d *daemon, end func()) {
	e.mu.Lock()
	for _, r := range e.runs {
		if r.process == d.process {
			r.gone = true
		}
	}
	e.mu.Unlock()
	end()
	d.begin()
	d.ready()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, &processRun{process: d.process, name: d.name, from: time.Now()})
}

// sighting is a revision that came into force at a process.
type sighting struct {
	at       time.Time
	revision uint64
	edit     string // empty if the process does not say
}

var (
	inForceLine    = regexp.MustCompile(`event=document_in_force.*\brevision=([0-9]+)`)
	timestampField = regexp.MustCompile(`\bts=(\S+)`)
	editField      = regexp.MustCompile(`\bedit=(\S+)`)
)

// sightings reads a process's log.
func (r *processRun) sightings(g *WithT) []sighting {
	var seen []sighting
	for line := range strings.Lines(r.out.String()) {
		m := inForceLine.FindStringSubmatch(line)
		if m == nil {
			continue
		}
		revision, err := strconv.ParseUint(m[1], 10, 64)
		g.Expect(err).NotTo(HaveOccurred())
		at, err := time.Parse(time.RFC3339Nano, timestampField.FindStringSubmatch(line)[1])
		g.Expect(err).NotTo(HaveOccurred())
		s := sighting{at: at, revision: revision}
		if edit := editField.FindStringSubmatch(line); edit != nil {
			s.edit = edit[1]
		}
		seen = append(seen, s)
	}
	return seen
}

// check stops the operators and checks the history of revisions in force: none
// goes back at any process, a revision is the same edit everywhere, each
// accepted edit is in force within the target at each process that lives and
// could follow, and all entries end with the same history.
func (e *editing) check() {
	e.c.t.Helper()
	close(e.stop)
	e.wait.Wait()
	g := e.c.g
	last := e.accepted[len(e.accepted)-1].record.Revision
	for _, a := range e.accepted {
		last = max(last, a.record.Revision)
	}
	byRevision := make(map[uint64]string)
	for _, a := range e.accepted {
		g.Expect(byRevision).NotTo(HaveKey(a.record.Revision), "two operators won revision %d", a.record.Revision)
		byRevision[a.record.Revision] = a.record.EditID
	}
	var slowest time.Duration
	for _, r := range e.runs {
		if !r.gone {
			g.Eventually(func() uint64 { return highest(r.sightings(g)) }, patience, poll).Should(BeNumerically(">=", last), r.name)
		}
		slowest = max(slowest, e.checkRun(r, byRevision))
	}
	e.c.t.Logf("%d edits accepted, %d refused as not run, %d process runs; slowest in force after %s",
		len(e.accepted), e.conflicts, len(e.runs), slowest)
	g.Expect(e.conflicts).To(BeNumerically(">", 0), "the operators did not race")
	e.checkHistories()
}

func highest(seen []sighting) uint64 {
	if len(seen) == 0 {
		return 0
	}
	return seen[len(seen)-1].revision
}

// checkRun checks one run's history and returns its slowest time until in force.
func (e *editing) checkRun(r *processRun, byRevision map[uint64]string) time.Duration {
	g := e.c.g
	seen := r.sightings(g)
	var before uint64
	for _, s := range seen {
		g.Expect(s.revision).To(BeNumerically(">", before), "%s went back", r.name)
		before = s.revision
		if edit, known := byRevision[s.revision]; known && s.edit != "" {
			g.Expect(s.edit).To(Equal(edit), "revision %d at %s", s.revision, r.name)
		}
	}
	if r.gone {
		return 0
	}
	var slowest time.Duration
	for _, a := range e.accepted {
		since := a.at
		if r.from.After(since) {
			since = r.from
		}
		took := firstAt(seen, a.record.Revision).Sub(since)
		g.Expect(took).To(BeNumerically("<=", inForceBound), "revision %d at %s", a.record.Revision, r.name)
		slowest = max(slowest, took)
	}
	return slowest
}

// firstAt returns when the revision or a later one came into force.
func firstAt(seen []sighting, revision uint64) time.Time {
	for _, s := range seen {
		if s.revision >= revision {
			return s.at
		}
	}
	return time.Now()
}

// checkHistories compares the entries' kept revisions. An edit without an answer
// may still land, so they are given time to agree.
func (e *editing) checkHistories() {
	e.c.t.Helper()
	e.c.g.Eventually(func(g Gomega) {
		first := keptRevisions(g, e.c.entries[0])
		for _, d := range e.c.entries[1:] {
			g.Expect(keptRevisions(g, d)).To(Equal(first), "history at %s", d.name)
		}
	}, patience, poll).Should(Succeed())
}

// keptRevisions returns what an entry says of the service's history.
func keptRevisions(g Gomega, d *daemon) string {
	resp, err := http.Get(d.url() + "/v1/services/" + serviceName + "/history")
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var body bytes.Buffer
	_, err = body.ReadFrom(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	return body.String()
}

// setLog changes the stand-in log's faults.
func (c *cluster) setLog(f logserver.Faults) {
	c.t.Helper()
	text, err := json.Marshal(f)
	c.g.Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequest(http.MethodPut, c.log.url()+logserver.FaultsPath, bytes.NewReader(text))
	c.g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	c.g.Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	c.g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
}

func (c *cluster) logClient() *platformlog.Client {
	c.t.Helper()
	l, err := platformlog.NewClient(c.log.url(), 0)
	c.g.Expect(err).NotTo(HaveOccurred())
	return l
}

// awaitCheckpoint waits for a checkpoint on the log and returns its data.
func (c *cluster) awaitCheckpoint() []byte {
	c.t.Helper()
	l := c.logClient()
	defer l.Close()
	var found []byte
	c.g.Eventually(func(g Gomega) {
		earliest, _, err := l.Bounds(context.Background())
		g.Expect(err).NotTo(HaveOccurred())
		records, err := l.Read(context.Background(), earliest, 512)
		g.Expect(err).NotTo(HaveOccurred())
		for _, rec := range records {
			if r, err := fold.DecodeRecord(rec.Data); err == nil && r.Type == fold.TypeCheckpoint {
				found = rec.Data
			}
		}
		g.Expect(found).NotTo(BeNil())
	}, patience, poll).Should(Succeed())
	return found
}

// appendToLog appends data as a paused process would that resumes.
func (c *cluster) appendToLog(data []byte) {
	c.t.Helper()
	l := c.logClient()
	defer l.Close()
	_, err := l.Append(context.Background(), data)
	c.g.Expect(err).NotTo(HaveOccurred())
}

// startEntryThrough starts an entry whose way to the log is the forwarder.
func (c *cluster) startEntryThrough(f *forwarder) *daemon {
	e := &daemon{c: c, name: fmt.Sprintf("entry-%d", len(c.entries)+1), httpAddr: "127.0.0.1:0", rpcAddr: "127.0.0.1:0"}
	e.launch = func(d *daemon) *process {
		return c.chestnuthollowd(d, "entry", map[string]string{
			"zone": "zone-b", "region": "region-1", "log_url": "http://" + f.addr(),
		})
	}
	c.entries = append(c.entries, e)
	e.begin()
	e.ready()
	return e
}

// documentFault disturbs processes while operators edit. The last entry's way
// to the log is toLog.
type documentFault struct {
	name    string
	inflict func(c *cluster, e *editing, toLog *forwarder)
}

var documentFaults = []documentFault{
	{"log down while dispatch goes on", func(c *cluster, e *editing, _ *forwarder) {
		h := &history{}
		l := c.startCallers(h, 4, false)
		c.setLog(logserver.Faults{Down: true})
		time.Sleep(faultTime)
		l.more(40)
		l.end()
		c.setLog(logserver.Faults{})
		v := c.check(h)
		c.g.Expect(v.Failed).To(BeZero(), "jobs failed by an outage of the log")
	}},
	{"log slow", func(c *cluster, e *editing, _ *forwarder) {
		c.setLog(logserver.Faults{Delay: logserver.Duration(time.Second)})
		e.more(3)
		c.setLog(logserver.Faults{})
	}},
	{"answers lost", func(c *cluster, e *editing, _ *forwarder) {
		c.setLog(logserver.Faults{DropReplies: true})
		e.more(5)
		c.setLog(logserver.Faults{})
	}},
	{"retention passes a frozen entry", func(c *cluster, e *editing, _ *forwarder) {
		c.entries[0].freeze()
		c.setLog(logserver.Faults{KeepRecords: 5})
		e.more(20)
		c.entries[0].resume()
		e.disturbed(c.entries[0])
	}},
	{"stale checkpoint arrives late", func(c *cluster, e *editing, _ *forwarder) {
		c.setLog(logserver.Faults{KeepRecords: 40})
		stale := c.awaitCheckpoint()
		e.more(20)
		c.appendToLog(stale)
		e.replace(c.entries[0], func() { c.g.Expect(c.entries[0].stop()).To(Succeed()) })
	}},
	{"entry cut from the log", func(c *cluster, e *editing, toLog *forwarder) {
		toLog.refuseNew(true)
		toLog.cut()
		e.more(20)
		time.Sleep(inForceBound)
		toLog.refuseNew(false)
	}},
	{"agent cut from one entry", func(c *cluster, e *editing, _ *forwarder) {
		r := c.relays[0]
		r.mu.Lock()
		f := r.forwarders[c.entries[0].name]
		r.mu.Unlock()
		f.refuseNew(true)
		f.cut()
		e.more(20)
		f.refuseNew(false)
	}},
	{"rolling replacement", func(c *cluster, e *editing, _ *forwarder) {
		for _, d := range c.entries {
			e.replace(d, func() { c.g.Expect(d.stop()).To(Succeed()) })
			e.more(5)
		}
	}},
	{"all entries at once", func(c *cluster, e *editing, _ *forwarder) {
		var wg sync.WaitGroup
		for _, d := range c.entries {
			wg.Go(func() { e.replace(d, d.kill) })
		}
		wg.Wait()
		e.disturbed(c.agents...)
	}},
}

// TestDocumentsNeverRevert checks issue 5's promises with separate processes
// while operators race each other.
func TestDocumentsNeverRevert(t *testing.T) {
	for _, f := range documentFaults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			c := newSystem(t)
			toLog := newForwarder(t, c.log.httpAddr)
			c.knowsAgents(c.startEntryThrough(toLog), len(c.agents))
			e := c.startEditing()
			e.more(10)
			f.inflict(c, e, toLog)
			e.more(10)
			e.check()
		})
	}
}
