// Package words_test checks that the platform's names are used only in the folders
// that translate or imitate its protocol.
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

// protocolFolders are the folders that may use the platform's names.
var protocolFolders = []string{"platform", "deploy", "journal", "target", "standin/keyedstore", "standin/leaseserver", "test/platform", "test/words", ".git"}

// wireNames matches names of the platform's calls, headers and fields for which the
// product has other terms.
var wireNames = regexp.MustCompile(`/chestnuthollow/(ready|instances|run-|hold|log-|machine|advise|pace)|` +
	`\b(fencingToken|deadlineMs|ackIndex|clockMs|pathPrefix|targetLatencyMs|enforcesCapacity|bestEffort|longRunning|` +
	`antiAffinity|estimateMs|memMb|heartbeatUrl|waitMs|maxRuns|dependsOn|Expect-Instance|Duty-Holder|Deadline-Ms|` +
	`keyed\.op|keyed\.status|CHESTNUTHOLLOW_BOOT)\b`)

func TestPlatformNamesStayInProtocolFolders(t *testing.T) {
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
			if slices.Contains(protocolFolders, filepath.ToSlash(rel)) {
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
				t.Errorf("%s:%d: platform name %q must be translated in platform/", rel, i+1, name)
			}
		}
		return nil
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(files).To(BeNumerically(">", 100))
}

// statefulCode matches code that keeps state or runs in the background.
var statefulCode = regexp.MustCompile(`\b(go func|time\.AfterFunc|time\.NewTicker|sync\.Mutex|dispatch\.New|taskrunner\.New)\b`)

// Package platform must only translate: it keeps no state and runs nothing in the
// background.
func TestTranslationKeepsNoState(t *testing.T) {
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
		g.Expect(statefulCode.FindString(string(text))).To(BeEmpty(), path)
	}
}
