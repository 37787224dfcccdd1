package document

import "github.com/pmezard/go-difflib/difflib"

// diffContext is the number of unchanged lines shown around each change.
const diffContext = 2

// Diff returns the unified diff between two texts, without file names; empty if
// they are equal.
func Diff(from, to string) string {
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:       difflib.SplitLines(from),
		B:       difflib.SplitLines(to),
		Context: diffContext,
	})
	if err != nil {
		return "" // cannot happen: the diff is written to memory
	}
	return text
}
