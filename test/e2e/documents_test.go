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
	"github.com/chestnuthollow/chestnuthollow/logstate"
	"github.com/chestnuthollow/chestnuthollow/platformlog"
	"github.com/chestnuthollow/chestnuthollow/standin/logserver"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const (
	// inForceBound is the target for an accepted edit to be in force at every
	// connected process.
	inForceBound = 16 * time.Second
	editPause    = 100 * time.Millisecond
	// faultDuration is how long the log outage lasts.
	faultDuration = 5 * time.Second
)

// processRun is one run of a process.
type processRun struct {
	*process
	name        string
	stableSince time.Time // end of the last fault at the process, or its start
	terminated  bool      // terminated by the test
}

// acceptedEdit is an edit that was reported to its operator as accepted.
type acceptedEdit struct {
	record structs.DocumentRecord
	at     time.Time
}

// editors are operators that edit the same document concurrently while faults
// are injected.
type editors struct {
	c    *cluster
	stop chan struct{}
	wait sync.WaitGroup

	mu        sync.Mutex
	accepted  []acceptedEdit
	conflicts int
	runs      []*processRun
}

func (c *cluster) startEditors() *editors {
	e := &editors{c: c, stop: make(chan struct{})}
	for _, d := range append(append([]*daemon(nil), c.entries...), c.agents...) {
		e.runs = append(e.runs, &processRun{process: d.process, name: d.name, stableSince: time.Now()})
	}
	for i := range 3 {
		e.wait.Go(func() { e.editLoop(i) })
	}
	return e
}

// editLoop edits the document repeatedly, each time based on the revision in
// force.
func (e *editors) editLoop(i int) {
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

func (e *editors) edit(k *client.Client, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	current, err := k.Service(ctx, serviceName)
	if err != nil {
		return
	}
	text := documentText("# " + id + "\n")
	rec, err := k.Apply(ctx, serviceName, structs.Edit{EditID: id, Base: current.Revision, Text: text})
	e.mu.Lock()
	defer e.mu.Unlock()
	if err == nil {
		if rec.Revision != current.Revision+1 {
			e.c.t.Errorf("edit %s based on revision %d created revision %d", id, current.Revision, rec.Revision)
		}
		e.accepted = append(e.accepted, acceptedEdit{record: *rec, at: time.Now()})
	} else if client.Verdict(err) == structs.NotRun {
		e.conflicts++
	}
}

// waitForMore waits until that many further edits have been accepted.
func (e *editors) waitForMore(count int) {
	e.c.t.Helper()
	start := e.count()
	e.c.g.Eventually(e.count, waitTimeout, pollInterval).Should(BeNumerically(">=", start+count))
}

func (e *editors) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.accepted)
}

// markRecovered records that the fault at these processes has just ended.
func (e *editors) markRecovered(daemons ...*daemon) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, d := range daemons {
		for _, r := range e.runs {
			if r.process == d.process {
				r.stableSince = time.Now()
			}
		}
	}
}

// replace terminates a process by calling stop and starts its successor at the
// same addresses.
func (e *editors) replace(d *daemon, stop func()) {
	e.mu.Lock()
	for _, r := range e.runs {
		if r.process == d.process {
			r.terminated = true
		}
	}
	e.mu.Unlock()
	stop()
	d.startAndWait()
	d.waitUntilReady()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, &processRun{process: d.process, name: d.name, stableSince: time.Now()})
}

// inForceEvent records that a revision came into force at a process.
type inForceEvent struct {
	at       time.Time
	revision uint64
	edit     string // empty if the log line has none
}

var (
	inForceLine    = regexp.MustCompile(`event=document_in_force.*\brevision=([0-9]+)`)
	timestampField = regexp.MustCompile(`\bts=(\S+)`)
	editField      = regexp.MustCompile(`\bedit=(\S+)`)
)

// inForceEvents parses a process's log.
func (r *processRun) inForceEvents(g *WithT) []inForceEvent {
	var events []inForceEvent
	for line := range strings.Lines(r.out.String()) {
		m := inForceLine.FindStringSubmatch(line)
		if m == nil {
			continue
		}
		revision, err := strconv.ParseUint(m[1], 10, 64)
		g.Expect(err).NotTo(HaveOccurred())
		at, err := time.Parse(time.RFC3339Nano, timestampField.FindStringSubmatch(line)[1])
		g.Expect(err).NotTo(HaveOccurred())
		s := inForceEvent{at: at, revision: revision}
		if edit := editField.FindStringSubmatch(line); edit != nil {
			s.edit = edit[1]
		}
		events = append(events, s)
	}
	return events
}

// check stops the operators and checks the history of revisions in force:
// revisions only increase at each process, a revision is the same edit
// everywhere, each accepted edit is in force within inForceBound at each
// process that was not terminated, counted from the end of its last fault if
// that is later, and all entries end with the same history.
func (e *editors) check() {
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
		g.Expect(byRevision).NotTo(HaveKey(a.record.Revision), "two edits were accepted as revision %d", a.record.Revision)
		byRevision[a.record.Revision] = a.record.EditID
	}
	var slowest time.Duration
	for _, r := range e.runs {
		if !r.terminated {
			g.Eventually(func() uint64 { return latestRevision(r.inForceEvents(g)) }, waitTimeout, pollInterval).Should(BeNumerically(">=", last), r.name)
		}
		slowest = max(slowest, e.checkRun(r, byRevision))
	}
	e.c.t.Logf("%d edits accepted, %d rejected with verdict NotRun, %d process runs; slowest edit in force after %s",
		len(e.accepted), e.conflicts, len(e.runs), slowest)
	g.Expect(e.conflicts).To(BeNumerically(">", 0), "no edit was rejected: the operators did not race")
	e.checkHistories()
}

func latestRevision(events []inForceEvent) uint64 {
	if len(events) == 0 {
		return 0
	}
	return events[len(events)-1].revision
}

// checkRun checks one run's events and returns the longest time that an edit
// took to come into force.
func (e *editors) checkRun(r *processRun, byRevision map[uint64]string) time.Duration {
	g := e.c.g
	events := r.inForceEvents(g)
	var before uint64
	for _, s := range events {
		g.Expect(s.revision).To(BeNumerically(">", before), "revision at %s did not increase", r.name)
		before = s.revision
		if edit, known := byRevision[s.revision]; known && s.edit != "" {
			g.Expect(s.edit).To(Equal(edit), "revision %d at %s", s.revision, r.name)
		}
	}
	if r.terminated {
		return 0
	}
	var slowest time.Duration
	for _, a := range e.accepted {
		since := a.at
		if r.stableSince.After(since) {
			since = r.stableSince
		}
		took := firstAt(events, a.record.Revision).Sub(since)
		g.Expect(took).To(BeNumerically("<=", inForceBound), "revision %d at %s", a.record.Revision, r.name)
		slowest = max(slowest, took)
	}
	return slowest
}

// firstAt returns when the revision or a later one came into force; the current
// time if none has.
func firstAt(events []inForceEvent, revision uint64) time.Time {
	for _, s := range events {
		if s.revision >= revision {
			return s.at
		}
	}
	return time.Now()
}

// checkHistories compares the entries' stored revisions. An edit without an
// answer may still be appended, so the entries get time to agree.
func (e *editors) checkHistories() {
	e.c.t.Helper()
	e.c.g.Eventually(func(g Gomega) {
		first := storedHistory(g, e.c.entries[0])
		for _, d := range e.c.entries[1:] {
			g.Expect(storedHistory(g, d)).To(Equal(first), "history at %s", d.name)
		}
	}, waitTimeout, pollInterval).Should(Succeed())
}

// storedHistory returns an entry's stored history of the service's document.
func storedHistory(g Gomega, d *daemon) string {
	resp, err := http.Get(d.url() + "/v1/services/" + serviceName + "/history")
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var body bytes.Buffer
	_, err = body.ReadFrom(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	return body.String()
}

// setLogFaults sets the stand-in log's faults.
func (c *cluster) setLogFaults(f logserver.Faults) {
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

// awaitCheckpoint waits for a checkpoint on the log and returns the latest.
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
			if r, err := logstate.DecodeRecord(rec.Data); err == nil && r.Type == logstate.TypeCheckpoint {
				found = rec.Data
			}
		}
		g.Expect(found).NotTo(BeNil())
	}, waitTimeout, pollInterval).Should(Succeed())
	return found
}

// appendToLog appends data, as a process would that resumes after a pause.
func (c *cluster) appendToLog(data []byte) {
	c.t.Helper()
	l := c.logClient()
	defer l.Close()
	_, err := l.Append(context.Background(), data)
	c.g.Expect(err).NotTo(HaveOccurred())
}

// startEntryThrough starts an entry that reaches the log through the proxy.
func (c *cluster) startEntryThrough(p *tcpProxy) *daemon {
	e := &daemon{c: c, name: fmt.Sprintf("entry-%d", len(c.entries)+1), httpAddr: "127.0.0.1:0", rpcAddr: "127.0.0.1:0"}
	e.launch = func(d *daemon) *process {
		return c.startChestnuthollowd(d, "entry", map[string]string{
			"zone": "zone-b", "region": "region-1", "log_url": "http://" + p.addr(),
		})
	}
	c.entries = append(c.entries, e)
	e.startAndWait()
	e.waitUntilReady()
	return e
}

// documentFault is a fault injected while operators edit the document. logProxy
// is the last entry's connection to the log.
type documentFault struct {
	name   string
	inject func(c *cluster, e *editors, logProxy *tcpProxy)
}

var documentFaults = []documentFault{
	{"log down while jobs run", func(c *cluster, e *editors, _ *tcpProxy) {
		h := &history{}
		l := c.startCallers(h, 4, false)
		c.setLogFaults(logserver.Faults{Down: true})
		time.Sleep(faultDuration)
		l.waitForMore(40)
		l.stopAndWait()
		c.setLogFaults(logserver.Faults{})
		v := c.check(h)
		c.g.Expect(v.Failed).To(BeZero(), "jobs failed during a log outage")
	}},
	{"log slow", func(c *cluster, e *editors, _ *tcpProxy) {
		c.setLogFaults(logserver.Faults{Delay: logserver.Duration(time.Second)})
		e.waitForMore(3)
		c.setLogFaults(logserver.Faults{})
	}},
	{"log replies lost", func(c *cluster, e *editors, _ *tcpProxy) {
		c.setLogFaults(logserver.Faults{DropReplies: true})
		e.waitForMore(5)
		c.setLogFaults(logserver.Faults{})
	}},
	{"log truncated beyond a frozen entry", func(c *cluster, e *editors, _ *tcpProxy) {
		c.entries[0].freeze()
		c.setLogFaults(logserver.Faults{KeepRecords: 5})
		e.waitForMore(20)
		c.entries[0].resume()
		e.markRecovered(c.entries[0])
	}},
	{"stale checkpoint appended", func(c *cluster, e *editors, _ *tcpProxy) {
		c.setLogFaults(logserver.Faults{KeepRecords: 40})
		stale := c.awaitCheckpoint()
		e.waitForMore(20)
		c.appendToLog(stale)
		e.replace(c.entries[0], func() { c.g.Expect(c.entries[0].stop()).To(Succeed()) })
	}},
	{"entry cannot reach the log", func(c *cluster, e *editors, logProxy *tcpProxy) {
		logProxy.refuseConnections(true)
		logProxy.closeAll()
		e.waitForMore(20)
		time.Sleep(inForceBound)
		logProxy.refuseConnections(false)
	}},
	{"agent unreachable from one entry", func(c *cluster, e *editors, _ *tcpProxy) {
		r := c.relays[0]
		r.mu.Lock()
		p := r.proxies[c.entries[0].name]
		r.mu.Unlock()
		p.refuseConnections(true)
		p.closeAll()
		e.waitForMore(20)
		p.refuseConnections(false)
	}},
	{"rolling replacement", func(c *cluster, e *editors, _ *tcpProxy) {
		for _, d := range c.entries {
			e.replace(d, func() { c.g.Expect(d.stop()).To(Succeed()) })
			e.waitForMore(5)
		}
	}},
	{"all entries restart at once", func(c *cluster, e *editors, _ *tcpProxy) {
		var wg sync.WaitGroup
		for _, d := range c.entries {
			wg.Go(func() { e.replace(d, d.kill) })
		}
		wg.Wait()
		e.markRecovered(c.agents...)
	}},
}

// TestDocumentsNeverRevert checks under each fault that no process goes back to
// an earlier revision of a document, that accepted edits come into force
// everywhere in time, and that concurrent edits of one revision are not both
// accepted.
func TestDocumentsNeverRevert(t *testing.T) {
	for _, f := range documentFaults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			c := newSystem(t)
			logProxy := newTCPProxy(t, c.log.httpAddr)
			c.waitForAgents(c.startEntryThrough(logProxy), len(c.agents))
			e := c.startEditors()
			e.waitForMore(10)
			f.inject(c, e, logProxy)
			e.waitForMore(10)
			e.check()
		})
	}
}
