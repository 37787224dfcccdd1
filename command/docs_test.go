package command_test

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/agent"
	"github.com/chestnuthollow/chestnuthollow/entry"
)

const docs = "../docs"

// TestOperatorsPageListsSettings checks that OPERATORS.md has a table row for each
// setting.
func TestOperatorsPageListsSettings(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile(filepath.Join(docs, "OPERATORS.md"))
	g.Expect(err).NotTo(HaveOccurred())
	_, rest, _ := strings.Cut(string(page), "\n### Entry\n")
	entryPart, rest, _ := strings.Cut(rest, "\n### Agent\n")
	agentPart, _, _ := strings.Cut(rest, "\n## ")
	for part, options := range map[string]any{entryPart: entry.Options{}, agentPart: agent.Options{}} {
		for _, key := range settingKeys(options) {
			g.Expect(part).To(ContainSubstring("\n| `" + key + "` | "))
		}
	}
}

func settingKeys(options any) []string {
	var keys []string
	t := reflect.TypeOf(options)
	for i := range t.NumField() {
		if key := t.Field(i).Tag.Get("toml"); key != "" && key != "-" {
			keys = append(keys, key)
		}
	}
	return keys
}

func TestExamplesAreValid(t *testing.T) {
	g := NewWithT(t)
	example := func(name string) string { return filepath.Join(docs, "examples", name) }
	for _, args := range [][]string{
		{"check", example("booking.toml"), example("faq.toml")},
		{"check", "--kind", "entry", example("entry.toml")},
		{"check", "--kind", "agent", example("agent.toml")},
	} {
		r := run(t, args...)
		g.Expect(r.status).To(Equal(0), r.errOut)
	}
	// The port refuses connections: status 3 shows that the job was parsed.
	r := run(t, "--entry", "http://127.0.0.1:1", "--timeout", "100ms", "job", "submit", example("job.json"))
	g.Expect(r.status).To(Equal(3), r.errOut)
}

// TestIndexListsPages checks that the index links to every page.
func TestIndexListsPages(t *testing.T) {
	g := NewWithT(t)
	index, err := os.ReadFile(filepath.Join(docs, "README.md"))
	g.Expect(err).NotTo(HaveOccurred())
	pages, err := filepath.Glob(filepath.Join(docs, "*.md"))
	g.Expect(err).NotTo(HaveOccurred())
	for _, page := range pages {
		if name := filepath.Base(page); name != "README.md" {
			g.Expect(string(index)).To(ContainSubstring("["+name+"]("+name+")"), "page is missing from the index")
		}
	}
}
