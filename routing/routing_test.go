package routing_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/routing"
)

func TestLongestPrefixOfHostMatches(t *testing.T) {
	table := routing.NewTable(1, 0, []routing.Queue{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "holds", Host: "A.example", Prefix: "/holds/"},
		{Name: "other", Host: "b.example", Prefix: "/holds/waiver/"},
	})
	for _, c := range []struct{ host, path, queue, rest string }{
		{"a.example", "/holds/1", "holds", "1"},
		{"A.EXAMPLE", "/holds/waiver/1", "holds", "waiver/1"},
		{"a.example", "/hold", "all", "hold"},
		{"b.example", "/holds/waiver/", "other", ""},
		{"b.example", "/holds/1", "", ""},
		{"c.example", "/holds/1", "", ""},
	} {
		t.Run(c.host+c.path, func(t *testing.T) {
			g := NewWithT(t)
			q, rest, ok := table.Match(c.host, c.path)
			g.Expect(ok).To(Equal(c.queue != ""))
			if ok {
				g.Expect([]string{q.Name, rest}).To(Equal([]string{c.queue, c.rest}))
			}
		})
	}
}

func TestNilTableMatchesNothing(t *testing.T) {
	_, _, ok := (*routing.Table)(nil).Match("a.example", "/")
	NewWithT(t).Expect(ok).To(BeFalse())
}

func TestServiceNamesAreUniqueAndSorted(t *testing.T) {
	table := routing.NewTable(1, 0, []routing.Queue{{Service: "b"}, {Service: "a"}, {Service: "b"}})
	NewWithT(t).Expect(table.ServiceNames()).To(Equal([]string{"a", "b"}))
}

// BenchmarkMatch measures matching against a configuration of 1,900 queues, which
// even a small entry does for each request.
func BenchmarkMatch(b *testing.B) {
	var queues []routing.Queue
	for i := range 1900 {
		queues = append(queues, routing.Queue{Host: fmt.Sprintf("h%d.example", i), Prefix: "/q/"})
	}
	table := routing.NewTable(1, 0, queues)
	for range b.N {
		table.Match("h1899.example", "/q/1")
	}
}
