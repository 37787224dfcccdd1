package e2e_test

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// runCLI runs the command line against entries and returns its standard output
// and exit status.
func (c *cluster) runCLI(entries []*daemon, args ...string) (string, int) {
	c.t.Helper()
	var flags []string
	for _, e := range entries {
		flags = append(flags, "--entry", e.url())
	}
	cmd := exec.Command(filepath.Join(binDir, "chestnuthollow"), append(flags, args...)...)
	var out, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errs
	err := cmd.Run()
	if _, exited := err.(*exec.ExitError); err != nil && !exited {
		c.t.Fatalf("chestnuthollow %v: %v", args, err)
	}
	if code := cmd.ProcessState.ExitCode(); code != 0 {
		c.t.Logf("chestnuthollow %v: status %d: %s", args, code, errs.String())
	}
	return out.String(), cmd.ProcessState.ExitCode()
}

// documentText returns a minimal document of the service with additional lines.
func documentText(lines string) string {
	return "service = \"" + serviceName + "\"\nowner = \"" + ownerTeam + "\"\n" + lines
}

// publish applies the service's document by the command line and waits until it
// is in force at every live process.
func (c *cluster) publish(base, lines string) {
	c.t.Helper()
	path := filepath.Join(c.dir, "document.toml")
	c.g.Expect(os.WriteFile(path, []byte(documentText(lines)), 0o600)).To(Succeed())
	_, code := c.runCLI(c.entries, "service", "apply", "--base", base, "--wait", "--wait-timeout", "60s", path)
	c.g.Expect(code).To(Equal(0), "exit status of service apply")
}

// submitByCommand runs "job submit" and records the answer.
func (c *cluster) submitByCommand(h *history, entries []*daemon, s *submission) int {
	c.t.Helper()
	path := filepath.Join(c.t.TempDir(), "job.json")
	text, err := json.Marshal(&s.spec)
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(os.WriteFile(path, text, 0o600)).To(Succeed())
	o := observation{submitted: s, call: time.Now().UnixNano()}
	out, code := c.runCLI(entries, "--json", "job", "submit", path)
	o.ret = time.Now().UnixNano()
	if code == 0 {
		var a structs.JobAnswer
		c.g.Expect(json.Unmarshal([]byte(out), &a)).To(Succeed())
		s.id = a.ID
		o.answer = &a
		h.add(o)
	}
	return code
}
