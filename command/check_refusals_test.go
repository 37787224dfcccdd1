package command_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/refusals"
)

// Guards against a check that passes over a start after a refusal when the lines are in several
// logs, or that fails for jobs of which it is not certain.
func TestCheckRefusals(t *testing.T) {
	g := NewWithT(t)
	const (
		entry1 = "level=info ts=2026-03-25T17:00:00Z process=e1 event=started incarnation=aa\n" +
			"level=info ts=2026-03-25T17:00:01Z process=e1 event=job_admitted job=j1 queue=q\n"
		entry2 = "   1.40 e2 level=info ts=2026-03-25T17:00:02Z process=e2 event=job_refused job=j1 queue=q verdict=not_run\n"
		agent  = "level=info ts=2026-03-25T17:00:03Z process=a1 event=task_started task=j1/0#1 entry=aa\n"
	)
	r := run(t, "check-refusals", writeFile(t, "e1.log", entry1), writeFile(t, "e2.log", entry2), writeFile(t, "a1.log", agent))
	g.Expect(r.status).To(Equal(1))
	g.Expect(r.out).To(HavePrefix("job j1, certain: task j1/0#1 was started 1s after e2 refused the job as not run\n  level=info"))
	g.Expect(strings.Count(r.out, "\n")).To(Equal(5), "three lines and an empty one follow")
	g.Expect(r.errOut).To(ContainSubstring("certain: 1, possible: 0; lines that were dropped by processes: 0, unreadable: 0\n"))

	r = runIn(t, strings.NewReader(entry1+entry2+agent), "--json", "check-refusals", "-")
	g.Expect(r.status).To(Equal(1))
	var findings []refusals.Finding
	r.decode(g, &findings)
	g.Expect(findings).To(HaveExactElements(And(HaveField("Job", "j1"), HaveField("Certain", true))))

	r = runIn(t, strings.NewReader(entry2+agent), "check-refusals", "-")
	g.Expect(r.status).To(Equal(0), "the submission has no line")
	g.Expect(r.out).To(BeEmpty())
	g.Expect(r.errOut).To(ContainSubstring("certain: 0, possible: 1"))
	r = runIn(t, strings.NewReader(entry2+agent), "check-refusals", "--possible", "-")
	g.Expect(r.status).To(Equal(0))
	g.Expect(r.out).To(HavePrefix("job j1, possible: "))

	g.Expect(run(t, "check-refusals").status).To(Equal(2))
	g.Expect(run(t, "check-refusals", "missing.log").status).To(Equal(2))
}
