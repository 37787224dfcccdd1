package document_test

import (
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/document"
)

const header = "service = 'faq'\nowner = 'faq-team'\n"

func TestProblemsReportLineKeyAndReason(t *testing.T) {
	tests := []struct {
		name, text string
		want       []string
	}{
		{"syntax", "a = = 3", []string{"line 1: a: expected value"}},
		{"type", header + "[limits]\nqueue = 'x'", []string{"line 4: limits.queue: incompatible types"}},
		{"duration", header + "[leave]\ngrace = '3 days'", []string{"line 4: leave.grace: time: "}},
		{"missing", "", []string{"service: missing", "owner: missing"}},
		{"range", header + "[limits]\n\nqueue = -1\nretries = nan", []string{
			"line 5: limits.queue: -1: want at least 0",
			"line 6: limits.retries: NaN: want at least 0",
		}},
		{"list", header + "[accept]\nkinds = ['a', '']\ncontent_types = ['x/']", []string{
			"line 4: accept.kinds[1]: : missing",
			"line 5: accept.content_types[0]: x/: want a media type",
		}},
		{"team", header + "[teams.'a.b']\nshare = -1\n[teams.'A']\nshare = 1", []string{
			"line 4: teams[a.b].share: -1: want at least 0",
			"line 5: teams[A]: A: want 1 to 63",
		}},
		{"duration range", header + "[accept]\nmax_declared = '2h'", []string{"line 4: accept.max_declared: 2h0m0s: want 0s to 1h"}},
		{"unknown", header + "[limits]\ncolour = 'red'", []string{"line 4: limits.colour: unknown key"}},
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

// TestParseIgnoresUnknownKeys: documents written for a newer version of the
// program must remain readable.
func TestParseIgnoresUnknownKeys(t *testing.T) {
	g := NewWithT(t)
	d, err := document.Parse(header + "future = 1\n[limits]\nqueue = 7\ncolour = 'red'\n[future_table]\na = 1\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(d.Limits.Queue).To(Equal(7))
}

func TestDiffShowsOnlyChanges(t *testing.T) {
	g := NewWithT(t)
	g.Expect(document.Diff(header, header)).To(BeEmpty())
	diff := document.Diff(header+"[limits]\nqueue = 7\n", header+"[limits]\nqueue = 8\n")
	g.Expect(diff).To(ContainSubstring("-queue = 7\n+queue = 8\n"))
}

// FuzzParse: values that Parse accepts are within their bounds, and Parse
// accepts every text that ParseStrict accepts.
func FuzzParse(f *testing.F) {
	f.Add(header)
	f.Add(header + "[limits]\nretries = nan\n[teams.'a.b']\nshare = 1e400")
	f.Add(header + "[[teams]]\nshare = 1")
	f.Add(header + "[accept]\nmax_declared = '2h'\n[leave]\nat = 2027-01-01T00:00:00Z")
	f.Fuzz(func(t *testing.T, text string) {
		d, err := document.Parse(text)
		if _, strictErr := document.ParseStrict(text); strictErr == nil && err != nil {
			t.Fatalf("ParseStrict accepted a text that Parse rejects: %v", err)
		}
		if err != nil {
			return
		}
		if d.Service == "" || d.Owner == "" || !(d.Limits.Retries >= 0 && d.Limits.Retries <= 1) {
			t.Fatalf("service or owner missing, or limits.retries out of bounds: %+v", d)
		}
		for team, q := range d.Teams {
			if !(q.Share >= 0 && q.Share <= 1000) {
				t.Fatalf("team %q: share %v out of bounds", team, q.Share)
			}
		}
	})
}
