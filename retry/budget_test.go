package retry_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/retry"
)

func TestRetriesStayWithinShareOfSuccesses(t *testing.T) {
	g := NewWithT(t)
	b := retry.NewBudget(0.1)
	granted := 0
	for range 10000 {
		b.Succeeded()
		for range 5 {
			if b.Take() {
				granted++
			}
		}
	}
	g.Expect(granted).To(BeNumerically("<=", retry.MaxBalance+1000))
	g.Expect(b.Counts().Retries).To(Equal(uint64(granted)))
	g.Expect(b.Counts().Denied).To(Equal(uint64(50000 - granted)))
}

func TestWithoutSuccessesRetriesAreLimitedToInitialBalance(t *testing.T) {
	g := NewWithT(t)
	b := retry.NewBudget(0)
	granted := 0
	for range 5000 {
		if b.Take() {
			granted++
		}
	}
	g.Expect(granted).To(Equal(retry.MaxBalance))
}
