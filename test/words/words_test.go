// Package words_test keeps the platform's names in the folder that translates
// them.
package words_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// speakers are the folders that speak the platform's protocol.
var speakers = []string{"platform", "deploy", "journal", "target", "standin/keyedstore", "standin/leaseserver", "test/platform", "test/words", ".git"}

// wireNames are names of the platform's calls, headers and fields that mean
// nothing in the product.
var wireNames = regexp.MustCompile(`/chestnuthollow/(ready|instances|run-|hold|log-|machine|advise|pace)|` +
	`\b(fencingToken|deadlineMs|ackIndex|clockMs|pathPrefix|targetLatencyMs|enforcesCapacity|bestEffort|longRunning|` +
	`antiAffinity|estimateMs|memMb|heartbeatUrl|waitMs|maxRuns|dependsOn|Expect-Instance|Duty-Holder|Deadline-Ms|` +
	`keyed\.op|keyed\.status|CHESTNUTHOLLOW_BOOT)\b`)

func TestPlatformNamesStayInTheirFolder(t *testing.T) {
	g := NewWithT(t)
	root := filepath.Join("..", "..")
	files := 0
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		if d.IsDir() {
			if slices.Contains(speakers, filepath.ToSlash(rel)) {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") {
			return nil
		}
		files++
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for i, line := range strings.Split(string(text), "\n") {
			if name := wireNames.FindString(line); name != "" {
				t.Errorf("%s:%d: %q belongs into platform/", rel, i+1, name)
			}
		}
		return nil
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(files).To(BeNumerically(">", 100))
}

// stateful is what the translation has no use for.
var stateful = regexp.MustCompile(`\b(go func|time\.AfterFunc|time\.NewTicker|sync\.Mutex|dispatch\.New|guard\.New)\b`)

// The translation keeps no state and runs nothing of its own.
func TestTranslationDecidesNothing(t *testing.T) {
	g := NewWithT(t)
	paths, err := filepath.Glob(filepath.Join("..", "..", "platform", "*.go"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(paths).NotTo(BeEmpty())
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		text, err := os.ReadFile(path)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(stateful.FindString(string(text))).To(BeEmpty(), path)
	}
}
