package command_test

import (
	"bytes"
	"context"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/command"
	"github.com/chestnuthollow/chestnuthollow/internal/exit"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// historyTimeout limits the time until every entry has read an accepted edit from the
// log.
const historyTimeout = 16 * time.Second

// TestServiceCommands runs the operators' commands against an all-in-one system.
func TestServiceCommands(t *testing.T) {
	g := NewWithT(t)
	system := startSystem(t)
	entries := system.EntryURLs()
	runAt := func(entry int, args ...string) result {
		return run(t, append([]string{"--entry", entries[entry]}, args...)...)
	}

	first := runAt(0, "service", "get", "booking").out
	g.Expect(first).To(HavePrefix("# chestnuthollow revision 1\n"))
	file := writeFile(t, "booking.toml", strings.Replace(first, "queue = 16", "queue = 12", 1))

	r := runAt(0, "service", "diff", "--file", file, "booking")
	g.Expect(r.out).To(ContainSubstring("-queue = 16\n+queue = 12"))
	r = runAt(0, "service", "apply", "--wait", file)
	g.Expect(r.status).To(Equal(0), r.errOut)
	g.Expect(r.out).To(ContainSubstring("revision 2 is in force everywhere"))
	g.Expect(runAt(1, "service", "get", "booking").out).NotTo(Equal(first), "the other entry has the new revision")

	// Another operator publishes an edit of revision 1 through the other entry.
	conflicting := writeFile(t, "rival.toml", strings.Replace(first, "queue = 16", "queue = 2", 1))
	r = runAt(1, "service", "apply", conflicting)
	g.Expect(r.status).To(Equal(3), r.errOut)
	g.Expect(r.out).To(ContainSubstring("+queue = 12"), "the accepted change")
	var conflict struct {
		Error   structs.Error          `json:"error"`
		Current structs.DocumentRecord `json:"current"`
		Change  string                 `json:"change"`
	}
	runAt(1, "--json", "service", "apply", conflicting).decode(g, &conflict)
	g.Expect(conflict.Error.Code).To(Equal(structs.CodeConflict))
	g.Expect(conflict.Current.Revision).To(Equal(uint64(2)))
	g.Expect(conflict.Change).To(ContainSubstring("+queue = 12"))

	r = runAt(0, "service", "drain", "--wait", "--agent", "booking-2", "booking")
	g.Expect(r.status).To(Equal(0), r.errOut)
	g.Expect(runAt(1, "status").out).To(MatchRegexp(`booking-2 .* leaving`))
	r = runAt(0, "service", "rollback", "--wait", "booking", "1")
	g.Expect(r.status).To(Equal(0), r.errOut)
	g.Expect(runAt(0, "service", "get", "booking").out).To(Equal(strings.Replace(first, "revision 1", "revision 4", 1)))
	g.Expect(runAt(0, "service", "diff", "booking", "1", "4").out).To(BeEmpty())
	g.Expect(runAt(0, "service", "list").out).To(MatchRegexp(`booking +front-desk +4`))

	var history []structs.DocumentRecord
	runAt(0, "--json", "service", "history", "booking").decode(g, &history)
	g.Expect(history).To(HaveLen(4))
	g.Expect(history[0].Revision).To(Equal(uint64(4)), "newest first")
	// An entry can learn a revision from an agent, and have it in force, before it
	// has read that part of the log.
	g.Eventually(func() string { return runAt(1, "--json", "service", "history", "booking").out }).
		WithTimeout(historyTimeout).Should(ContainSubstring(history[0].EditID))
}

// TestApplyWaitNamesProcessesBehind checks that service apply --wait reports
// an entry that does not get the revision in time.
func TestApplyWaitNamesProcessesBehind(t *testing.T) {
	g := NewWithT(t)
	behind := structs.EntryInfo{Name: "entry-9", Incarnation: 9, Zone: "zone-a", HTTPAddr: "127.0.0.1:1"}
	url := fakeEntry(t, map[string]any{
		"PUT /v1/services/booking": structs.DocumentRecord{Service: "booking", Revision: 2},
		"GET /v1/entries":          []structs.EntryInfo{behind},
	}, nil)
	file := writeFile(t, "booking.toml", "service = \"booking\"\nowner = \"desk\"\n")
	args := []string{"--entry", url, "service", "apply", "--wait", "--wait-timeout", "10ms", file}
	r := run(t, args...)
	g.Expect(r.status).To(Equal(1))
	g.Expect(r.errOut).To(ContainSubstring("entry entry-9 in zone-a"))

	r = run(t, append([]string{"--json"}, args...)...)
	var out struct {
		Record  structs.DocumentRecord
		InForce *bool `json:"in_force"`
		Behind  []struct{ Name, Role string }
	}
	r.decode(g, &out)
	g.Expect(*out.InForce).To(BeFalse())
	g.Expect(out.Behind[0].Name).To(Equal("entry-9"))
	g.Expect(out.Record.Revision).To(Equal(uint64(2)))
}

// A false report: if the last check had failed when the command was interrupted, it
// said that the revision was in force everywhere.
func TestInterruptedApplyWaitDoesNotReportInForce(t *testing.T) {
	g := NewWithT(t)
	url := fakeEntry(t, map[string]any{"PUT /v1/services/booking": structs.DocumentRecord{Service: "booking", Revision: 2}}, nil)
	file := writeFile(t, "booking.toml", "service = \"booking\"\nowner = \"desk\"\n")
	ctx, cancel := context.WithTimeout(t.Context(), 150*time.Millisecond)
	defer cancel()
	var out, errOut bytes.Buffer
	status := exit.Run(ctx, command.New(strings.NewReader(""), &out, &errOut),
		[]string{"chestnuthollow", "--entry", url, "service", "apply", "--wait", "--wait-timeout", "1m", file})
	g.Expect(status).NotTo(BeZero(), out.String())
	g.Expect(out.String()).NotTo(ContainSubstring("in force everywhere"))
}

// A false report: if the entries could not be listed when the time of the wait ended, the
// list of processes that are behind was empty, and the revision counted as in force.
func TestApplyWaitThatCannotCheckDoesNotReportInForce(t *testing.T) {
	g := NewWithT(t)
	url := fakeEntry(t, map[string]any{"PUT /v1/services/booking": structs.DocumentRecord{Service: "booking", Revision: 2}}, nil)
	file := writeFile(t, "booking.toml", "service = \"booking\"\nowner = \"desk\"\n")
	args := []string{"--entry", url, "service", "apply", "--wait", "--wait-timeout", "10ms", file}
	r := run(t, args...)
	g.Expect(r.status).To(Equal(exit.Failure))
	g.Expect(r.out).To(ContainSubstring("revision 2 published"))
	g.Expect(r.out).NotTo(ContainSubstring("in force everywhere"))

	r = run(t, append([]string{"--json"}, args...)...)
	g.Expect(r.status).To(Equal(exit.Failure))
	g.Expect(r.out).NotTo(ContainSubstring("in_force"))
}

func TestJobCommands(t *testing.T) {
	g := NewWithT(t)
	url := startSystem(t).EntryURLs()[0]
	r := run(t, "--entry", url, "job", "submit", "--service", "booking", "--team", "desk",
		"--task", `{"work_ms": 1, "slot": 1}`, "--task", `{"work_ms": 1, "slot": 2}`, "--count", "25", "--json")
	g.Expect(r.status).To(Equal(0), r.errOut)
	var a structs.JobAnswer
	r.decode(g, &a)
	g.Expect(a.Results).To(HaveLen(50))
	g.Expect(string(a.Results[49].Body)).To(ContainSubstring(`"slot": 2`), "a comma does not split a --task payload")

	// A job from a file, submitted twice under one id.
	id := strings.TrimSpace(run(t, "--entry", url, "job", "reserve").out)
	job := `{"service": "booking", "team": "desk", "tasks": [{"payload": "eyJ3b3JrX21zIjogMX0="}]}`
	file := writeFile(t, "job.json", job)
	for range 2 {
		r = run(t, "--entry", url, "job", "submit", "--id", id, "--results", file)
		g.Expect(r.status).To(Equal(0), r.errOut)
		g.Expect(r.out).To(ContainSubstring(id + ": complete"))
		g.Expect(r.out).To(ContainSubstring(`task 0: {"work_ms": 1}`))
	}
	// The same job, submitted twice under one idempotency key.
	key := uuid.Must(uuid.NewV7()).String()
	first := run(t, "--entry", url, "job", "submit", "--key", key, file)
	g.Expect(first.status).To(Equal(0), first.errOut)
	g.Expect(run(t, "--entry", url, "job", "submit", "--key", key, file).out).To(Equal(first.out), "the same job")

	text, err := os.Open(file)
	g.Expect(err).NotTo(HaveOccurred())
	defer text.Close()
	g.Expect(runIn(t, text, "--entry", url, "job", "submit", "-").status).To(Equal(0))
	g.Expect(run(t, "--entry", url, "job", "get", id).status).To(Equal(0))
}
