package daemon_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/command/daemon"
	"github.com/chestnuthollow/chestnuthollow/internal/exit"
)

func run(t *testing.T, args ...string) (status int, out, errOut string) {
	var o, e bytes.Buffer
	status = exit.Run(t.Context(), daemon.New(&o, &e), append([]string{"chestnuthollowd"}, args...))
	return status, o.String(), e.String()
}

const validEntry = `
name = "entry-1"
zone = "zone-a"
region = "local"
http_addr = "127.0.0.1:0"
rpc_addr = "127.0.0.1:0"
log_url = "http://127.0.0.1:1"
`

const validAgent = `
name = "booking-1"
service = "booking"
team = "desk"
zone = "zone-a"
http_addr = "127.0.0.1:0"
rpc_addr = "127.0.0.1:0"
backend_url = "http://127.0.0.1:1"
balancer_url = "http://127.0.0.1:1"
`

func settingsFile(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "settings.toml")
	NewWithT(t).Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

func TestCheckSettings(t *testing.T) {
	g := NewWithT(t)
	for role, text := range map[string]string{"entry": validEntry, "agent": validAgent} {
		status, out, errOut := run(t, role, "--check", "--config", settingsFile(t, text))
		g.Expect(status).To(Equal(exit.OK), errOut)
		g.Expect(out).To(ContainSubstring("ok"))
	}
}

// TestInvalidSettings checks that one run reports all errors in a settings file,
// with and without --check, instead of starting the process.
func TestInvalidSettings(t *testing.T) {
	g := NewWithT(t)
	invalidate := strings.NewReplacer(
		`"zone-a"`, `"Zone A"`,
		`http_addr = "127.0.0.1:0"`, `http_addr = "localhost"`,
		"name = ", "nmae = ",
	)
	for role, text := range map[string]string{"entry": validEntry, "agent": validAgent + "slots = 0\n"} {
		file := settingsFile(t, invalidate.Replace(text))
		for _, args := range [][]string{{role, "--config", file}, {role, "--check", "--config", file}} {
			status, _, errOut := run(t, args...)
			g.Expect(status).To(Equal(exit.Usage))
			for _, want := range []string{"unknown key nmae", "name = : missing", "zone = Zone A", "http_addr = localhost"} {
				g.Expect(errOut).To(ContainSubstring(want))
			}
			if role == "agent" {
				g.Expect(errOut).To(ContainSubstring("slots = 0"))
			}
		}
	}
}

func TestUsageErrors(t *testing.T) {
	g := NewWithT(t)
	for _, args := range []string{"", "nope", "entry", "entry --config /nonexistent", "entry --bogus", "all-in-one extra"} {
		status, _, errOut := run(t, strings.Fields(args)...)
		g.Expect(status).To(Equal(exit.Usage), "%q: %s", args, errOut)
		g.Expect(errOut).NotTo(BeEmpty())
	}
}

func TestUnavailableAddress(t *testing.T) {
	g := NewWithT(t)
	text := strings.Replace(validEntry, `http_addr = "127.0.0.1:0"`, `http_addr = "192.0.2.1:80"`, 1) // TEST-NET-1, not an address of this machine
	status, _, errOut := run(t, "entry", "--config", settingsFile(t, text))
	g.Expect(status).To(Equal(exit.Failure))
	g.Expect(errOut).To(ContainSubstring("http_addr"))
}

func TestDemo(t *testing.T) {
	g := NewWithT(t)
	status, out, errOut := run(t, "all-in-one", "--demo")
	g.Expect(status).To(Equal(exit.OK), errOut)
	g.Expect(out).To(ContainSubstring("complete, 50 of 50 tasks"))
	g.Expect(errOut).To(BeEmpty(), "no warnings are logged")
}
