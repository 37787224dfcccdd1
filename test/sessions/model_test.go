package sessions_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
)

// TestInterleavings lets drawn faults fall on a small system and checks, while
// it runs, that no task runs twice at the same time, that no server runs more
// than it has room for, and that "not run" is true.
func TestInterleavings(t *testing.T) {
	total := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Int64().Draw(t, "seed"))
		w.play(rapid.IntRange(0, 6).Draw(t, "faults"))
		for k, n := range w.counts {
			total[k] += n
		}
	})
	t.Logf("%v", total)
	for _, k := range []string{"started", "completed", "late", "refused not_run", "refused may_have_run", "broken"} {
		if total[k] == 0 {
			t.Errorf("no case with %q was drawn", k)
		}
	}
}

func newWorld(t *rapid.T, seed int64) *world {
	w := &world{
		rng:     rand.New(rand.NewSource(seed)),
		running: make(map[string][]string),
		started: make(map[string]bool),
		counts:  make(map[string]int),
	}
	w.fail = func(format string, args ...any) {
		t.Fatalf("at %v: %s", w.now, fmt.Sprintf(format, args...))
	}
	if w.rng.Intn(2) == 0 {
		w.lateShare = 0.08
	}
	for i := range 3 {
		w.newAgent(i, 20_000)
	}
	for i := range 2 {
		w.newEntry(i)
	}
	return w
}

// play submits jobs for six seconds while faults fall.
func (w *world) play(faults int) {
	w.run(2 * time.Second)
	for i := range 40 {
		w.after(w.between(0, 6*time.Second), func() { w.submit(w.drawJob(i)) })
	}
	for range faults {
		w.after(w.between(0, 6*time.Second), w.fault)
	}
	w.run(16 * time.Second)
}

func (w *world) drawJob(i int) dispatch.Job {
	ms := 20 + w.rng.Intn(900)
	cpu := 2000 + w.rng.Intn(6000)
	how := []string{"ok", "ok", "ok", "ok", "ok", "ok", "fail", "hang"}[w.rng.Intn(8)]
	return dispatch.Job{
		Name: fmt.Sprintf("job%d", i), Queue: testQueue(), Spec: fmt.Sprintf("%d,%d,%s", ms, cpu, how),
		Tasks: 1 + w.rng.Intn(5), CPU: cpu, MemMB: 1, Estimate: time.Duration(ms) * time.Millisecond * time.Duration(60+w.rng.Intn(80)) / 100,
		Timeout: 3 * time.Second,
	}
}

// fault lets one fault fall.
func (w *world) fault() {
	e := w.entries[w.rng.Intn(len(w.entries))]
	a := w.agents[w.rng.Intn(len(w.agents))]
	span := w.between(100*time.Millisecond, 3*time.Second)
	kind := w.rng.Intn(8)
	w.note("world", "FAULT", "", fmt.Sprintf("kind=%d %s %s for %v", kind, e.name, a.name, span))
	switch kind {
	case 0:
		e.crash()
	case 1:
		a.crash()
	case 2:
		e.freeze(span, w.rng.Intn(2) == 0)
	case 3:
		a.freeze(span, w.rng.Intn(2) == 0)
	case 4:
		a.machine.rebirth()
	case 5:
		for _, c := range sorted(e.conns) {
			c.cut = w.now + span
		}
	case 6:
		for _, c := range sorted(a.conns) {
			c.cut = w.now + span
		}
	case 7:
		e.crash()
		a.crash()
	}
}
