package document_test

import (
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/document"
)

const head = "service = 'faq'\nowner = 'faq-team'\n"

func TestProblemsNameLineKeyAndReason(t *testing.T) {
	tests := []struct {
		name, text string
		want       []string
	}{
		{"syntax", "a = = 3", []string{"line 1: a: expected value"}},
		{"type", head + "[limits]\nqueue = 'x'", []string{"line 4: limits.queue: incompatible types"}},
		{"duration", head + "[leave]\ngrace = '3 days'", []string{"line 4: leave.grace: time: "}},
		{"missing", "", []string{"service: missing", "owner: missing"}},
		{"range", head + "[limits]\n\nqueue = -1\nretries = nan", []string{
			"line 5: limits.queue: -1: want at least 0",
			"line 6: limits.retries: NaN: want at least 0",
		}},
		{"list", head + "[accept]\nkinds = ['a', '']\ncontent_types = ['x/']", []string{
			"line 4: accept.kinds[1]: : missing",
			"line 5: accept.content_types[0]: x/: want a media type",
		}},
		{"team", head + "[teams.'a.b']\nshare = -1\n[teams.'A']\nshare = 1", []string{
			"line 4: teams[a.b].share: -1: want at least 0",
			"line 5: teams[A]: A: want 1 to 63",
		}},
		{"duration range", head + "[accept]\nmax_declared = '2h'", []string{"line 4: accept.max_declared: 2h0m0s: want 0s to 1h"}},
		{"unknown", head + "[limits]\ncolour = 'red'", []string{"line 4: limits.colour: unknown key"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := document.ParseStrict(tt.text)
			var problems document.Problems
			g.Expect(errors.As(err, &problems)).To(BeTrue())
			g.Expect(problems).To(HaveLen(len(tt.want)))
			for i, want := range tt.want {
				g.Expect(problems[i].String()).To(HavePrefix(want))
			}
		})
	}
}

func TestReadersIgnoreNewerKeys(t *testing.T) {
	g := NewWithT(t)
	d, err := document.Parse(head + "future = 1\n[limits]\nqueue = 7\ncolour = 'red'\n[future_table]\na = 1\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(d.Limits.Queue).To(Equal(7))
}

func TestDiffShowsTheChangeOnly(t *testing.T) {
	g := NewWithT(t)
	g.Expect(document.Diff(head, head)).To(BeEmpty())
	diff := document.Diff(head+"[limits]\nqueue = 7\n", head+"[limits]\nqueue = 8\n")
	g.Expect(diff).To(ContainSubstring("-queue = 7\n+queue = 8\n"))
}

// FuzzParse: a text that a reader takes is in bounds, and one that the
// publisher takes is taken by readers.
func FuzzParse(f *testing.F) {
	f.Add(head)
	f.Add(head + "[limits]\nretries = nan\n[teams.'a.b']\nshare = 1e400")
	f.Add(head + "[[teams]]\nshare = 1")
	f.Add(head + "[accept]\nmax_declared = '2h'\n[leave]\nat = 2027-01-01T00:00:00Z")
	f.Fuzz(func(t *testing.T, text string) {
		d, err := document.Parse(text)
		if _, checkErr := document.ParseStrict(text); checkErr == nil && err != nil {
			t.Fatalf("ParseStrict took what Parse refuses: %v", err)
		}
		if err != nil {
			return
		}
		if d.Service == "" || d.Owner == "" || !(d.Limits.Retries >= 0 && d.Limits.Retries <= 1) {
			t.Fatalf("out of bounds: %+v", d)
		}
		for team, q := range d.Teams {
			if !(q.Share >= 0 && q.Share <= 1000) {
				t.Fatalf("team %q: share %v", team, q.Share)
			}
		}
	})
}
