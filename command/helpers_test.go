package command_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/allinone"
	"github.com/chestnuthollow/chestnuthollow/command"
	"github.com/chestnuthollow/chestnuthollow/internal/exit"
)

// result is the exit status and output of one run of the command line.
type result struct {
	status int
	out    string
	errOut string
}

// runIn runs the command line with in as its standard input.
func runIn(t *testing.T, in io.Reader, args ...string) result {
	t.Setenv(command.EntriesEnv, "")
	var out, errOut bytes.Buffer
	root := command.New(in, &out, &errOut)
	status := exit.Run(t.Context(), root, append([]string{"chestnuthollow"}, args...))
	return result{status: status, out: out.String(), errOut: errOut.String()}
}

func run(t *testing.T, args ...string) result { return runIn(t, strings.NewReader(""), args...) }

// decode reads a run's output as JSON.
func (r result) decode(g Gomega, v any) {
	g.Expect(json.Unmarshal([]byte(r.out), v)).To(Succeed(), "%s", r.out)
}

// fakeEntry starts an HTTP server that answers "METHOD /path" with the JSON body
// in answers and the status in statuses, 200 by default. It returns its URL.
func fakeEntry(t *testing.T, answers map[string]any, statuses map[string]int) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key := r.Method + " " + r.URL.Path
		answer, ok := answers[key]
		if !ok {
			http.NotFound(w, r)
			return
		}
		if status := statuses[key]; status != 0 {
			w.WriteHeader(status)
		}
		_ = json.NewEncoder(w).Encode(answer)
	}))
	t.Cleanup(s.Close)
	return s.URL
}

// startSystem starts an all-in-one system with its sample document in force.
func startSystem(t *testing.T) *allinone.System {
	g := NewWithT(t)
	opts := allinone.DefaultOptions()
	opts.Speeds = []float64{1, 0.5}
	system, err := allinone.Start(opts, func(string) log.Logger { return log.NewNopLogger() })
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { g.Expect(system.Stop()).To(Succeed()) })
	g.Expect(system.PublishSample(t.Context())).To(Succeed())
	return system
}

func writeFile(t *testing.T, name, text string) string {
	path := filepath.Join(t.TempDir(), name)
	NewWithT(t).Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}
