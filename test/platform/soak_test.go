package platform_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/chestnuthollow/chestnuthollow/standin/keyedstore"
)

var (
	soakSeed    = flag.Int64("soak.seed", 0, "first seed of the soak; 0 takes the kept ones")
	soakRuns    = flag.Int("soak.runs", 1, "seeds to run, from soak.seed on")
	soakFor     = flag.Duration("soak.for", 12*time.Second, "how long the faults of a seed fall")
	soakEntries = flag.Int("soak.entries", 3, "entries")
	soakAgents  = flag.Int("soak.agents", 4, "agents, each with a backend server")
	soakLogs    = flag.String("soak.logs", "", "folder that keeps the logs of failed seeds")
)

// keptSeeds are run in each test run: each found a fault once, but for the
// first, which covers all kinds.
var keptSeeds = []int64{1}

// TestSoak injects faults, drawn from a seed, from outside the processes, and
// checks what backend servers and callers see.
//
//	go test ./test/platform -run TestSoak -soak.seed 100 -soak.runs 50 -timeout 60m
func TestSoak(t *testing.T) {
	seeds := keptSeeds
	if *soakSeed != 0 {
		seeds = nil
		for i := range int64(*soakRuns) {
			seeds = append(seeds, *soakSeed+i)
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { soakOnce(t, seed) })
	}
}

// soak is one run.
type soak struct {
	*system
	rng     *rand.Rand // of the faults
	faults  sync.WaitGroup
	mu      sync.Mutex
	history []string
	counts  map[string]int
}

func soakOnce(t *testing.T, seed int64) {
	s := &soak{system: newSystem(t, *soakEntries, *soakAgents), rng: rand.New(rand.NewSource(seed)), counts: make(map[string]int)}
	t.Cleanup(func() {
		if t.Failed() || s.watch.err() != nil {
			s.keepLogs(seed)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i := range 8 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			s.call(ctx, rand.New(rand.NewSource(seed*100+int64(i))), i)
		}()
	}
	for end := time.Now().Add(*soakFor); time.Now().Before(end); {
		time.Sleep(time.Duration(s.rng.Intn(900)) * time.Millisecond)
		s.fault()
	}
	s.faults.Wait()
	s.settle()
	s.recovers()
	cancel()
	callers.Wait()
	t.Logf("seed %d: %v", seed, s.counts)
	if err := s.watch.err(); err != nil {
		t.Errorf("seed %d: %v; faults: %v", seed, err, s.history)
	}
}

func (s *soak) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

func (s *soak) count(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[what]++
}

// call submits jobs one after the other, and copies of those whose connection
// broke, as callers do.
func (s *soak) call(ctx context.Context, rng *rand.Rand, caller int) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%08x%08x", caller, n)
		tasks, ms := 1+rng.Intn(6), 20+rng.Intn(600)
		how := []string{"ok", "ok", "ok", "ok", "ok", "fail", "hang"}[rng.Intn(7)]
		for range 3 {
			if !s.attempt(ctx, rng, id, tasks, ms, how) {
				break
			}
			time.Sleep(1300 * time.Millisecond)
		}
	}
}

// attempt submits a job once and reports whether a copy may be sent.
func (s *soak) attempt(ctx context.Context, rng *rand.Rand, id string, tasks, ms int, how string) bool {
	limit := 3 * time.Second
	if rng.Intn(8) == 0 {
		limit = time.Duration(rng.Intn(400)) * time.Millisecond // leaves early
	}
	call, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	before := s.watch.starts(id)
	a := s.post(call, s.entries[rng.Intn(len(s.entries))], id, tasks, ms, 2000+rng.Intn(4000), how)
	s.count(fmt.Sprintf("%d %s", a.code, a.state))
	switch {
	case a.err != nil || a.code == 502 || a.code == 504:
		return true
	case (a.code == 429 || a.code == 503) && before == 0:
		time.Sleep(50 * time.Millisecond)
		if s.watch.starts(id) > 0 {
			s.t.Errorf("job %s was refused as not run, and has run", id)
		}
	case a.code == 200 && a.state == "completed" && how != "ok":
		s.t.Errorf("job %s whose tasks %s was called completed", id, how)
	}
	return false
}

// fault lets one fault fall; it ends by itself, and others overlap it.
func (s *soak) fault() {
	entry := s.entries[s.rng.Intn(len(s.entries))]
	i := s.rng.Intn(len(s.agents))
	agent, px, server := s.agents[i], s.proxies[i], s.servers[i]
	victim := entry
	if s.rng.Intn(2) == 0 {
		victim = agent
	}
	span := time.Duration(100+s.rng.Intn(2500)) * time.Millisecond
	kind := s.rng.Intn(10)
	s.note("kind %d on %s or %s for %v", kind, victim.name, agent.name, span)
	for_ := func(begin, end func()) {
		begin()
		s.faults.Add(1)
		time.AfterFunc(span, func() {
			defer s.faults.Done()
			end()
		})
	}
	switch kind {
	case 0:
		for_(func() { victim.kill() }, victim.start)
	case 1:
		for_(func() { victim.signal(syscall.SIGSTOP) }, func() { victim.signal(syscall.SIGCONT) })
	case 2:
		s.faults.Add(1)
		go func() {
			defer s.faults.Done()
			victim.signal(syscall.SIGTERM)
			if !victim.wait((graceS + 2) * time.Second) {
				victim.kill()
			}
			victim.start()
		}()
	case 3:
		px.reset()
	case 4:
		for_(func() { px.harm(0, true, true) }, func() { px.harm(0, false, false) })
	case 5:
		one := s.rng.Intn(2) == 0
		for_(func() { px.harm(0, one, !one) }, func() { px.harm(0, false, false) })
	case 6:
		delay := time.Duration(s.rng.Intn(150)) * time.Millisecond
		for_(func() { px.harm(delay, false, false) }, func() { px.harm(0, false, false) })
	case 7:
		for_(func() { server.SetDelayedCallShare(0.1) }, func() { server.SetDelayedCallShare(0) })
	case 8:
		server.Crash()
	case 9:
		mode := []keyedstore.Mode{keyedstore.Unresponsive, keyedstore.Unavailable, keyedstore.LosingReplies, keyedstore.Serving}[s.rng.Intn(4)]
		for_(func() { s.store.SetMode(mode, 300*time.Millisecond) }, func() { s.store.SetMode(keyedstore.Serving, 0) })
		s.mu.Lock()
		s.putConfig()
		s.mu.Unlock()
	}
	s.count(fmt.Sprintf("fault %d", kind))
}

// settle starts what overlapping faults left stopped, and ends their harm.
func (s *soak) settle() {
	s.store.SetMode(keyedstore.Serving, 0)
	for _, px := range s.proxies {
		px.harm(0, false, false)
	}
	for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
		p.signal(syscall.SIGCONT)
		if p.wait(0) {
			p.start()
		}
	}
}

// recovers checks that each entry serves again, within the platform's bound.
func (s *soak) recovers() {
	const bound = 12 * time.Second
	for i, p := range s.entries {
		ok := false
		for end := time.Now().Add(bound); !ok && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			ok = s.post(context.Background(), p, fmt.Sprintf("ff%06x%08x", i, time.Now().UnixNano()&0xffffffff), 1, 20, 1000, "ok").state == "completed"
		}
		if !ok {
			s.t.Errorf("%s does not serve %v after the last fault: %s", p.name, bound, p.tail())
		}
	}
}

func (s *soak) keepLogs(seed int64) {
	if *soakLogs == "" {
		return
	}
	dir := filepath.Join(*soakLogs, fmt.Sprintf("seed-%d", seed))
	if err := os.CopyFS(dir, os.DirFS(s.dir)); err != nil {
		s.t.Logf("logs not kept: %v", err)
	}
}
