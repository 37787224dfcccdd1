package document

import "github.com/pmezard/go-difflib/difflib"

// diffContext is the number of unchanged lines around each change.
const diffContext = 2

// Diff returns the change from one document's text to another as a unified
// diff without file names; empty if there is none.
func Diff(from, to string) string {
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:       difflib.SplitLines(from),
		B:       difflib.SplitLines(to),
		Context: diffContext,
	})
	if err != nil {
		return "" // writing to memory does not fail
	}
	return text
}
