package command_test

import (
	"context"
	"testing"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/entry"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// startEntryWithoutLog starts an entry that cannot reach the platform's log and
// knows no other entry, and returns its URL.
func startEntryWithoutLog(t *testing.T) string {
	g := NewWithT(t)
	opts := entry.DefaultOptions()
	opts.Name = "entry-1"
	opts.Zone = "zone-a"
	opts.Region = "local"
	opts.HTTPAddr = "127.0.0.1:0"
	opts.RPCAddr = "127.0.0.1:0"
	opts.LogURL = "http://127.0.0.1:1"
	opts.StopLinger = 0
	e, err := entry.New(opts, log.NewNopLogger())
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		g.Expect(<-done).To(Succeed())
	})
	return "http://" + e.HTTPAddr()
}

// TestUnreadyEntryStatus checks that an entry that has not read the documents from
// the log reports this in its status and answers a query of the history with an
// error.
func TestUnreadyEntryStatus(t *testing.T) {
	g := NewWithT(t)
	url := startEntryWithoutLog(t)
	r := run(t, "--entry", url, "--timeout", "5s", "status")
	g.Expect(r.status).To(Equal(0), r.errOut)
	g.Expect(r.out).To(ContainSubstring("the platform's log cannot be read"))
	r = run(t, "--entry", url, "--timeout", "5s", "--json", "service", "history", "booking")
	g.Expect(r.status).To(Equal(1))
	g.Expect(r.out).To(MatchRegexp(string(structs.CodeUnavailable) + "|" + string(structs.CodeNotFound)))
	g.Expect(r.out).NotTo(ContainSubstring("EOF"), "the entry answers")
}

// TestUnreadyEntryRefusesJobs checks that an entry that has not read the documents
// refuses a job as unavailable and not as one for an unknown service, because
// another entry may have the service's document.
func TestUnreadyEntryRefusesJobs(t *testing.T) {
	g := NewWithT(t)
	r := run(t, append([]string{"--entry", startEntryWithoutLog(t), "--timeout", "2s", "--json"}, submitFlags...)...)
	var failure struct{ Error structs.Error }
	r.decode(g, &failure)
	g.Expect(failure.Error.Code).To(Equal(structs.CodeUnavailable))
	g.Expect(r.status).To(Equal(3), "not run")
}

// TestHistoryShowsPublicationTime checks that the history shows when a
// revision was published.
func TestHistoryShowsPublicationTime(t *testing.T) {
	g := NewWithT(t)
	r := run(t, "--entry", startSystem(t).EntryURLs()[0], "service", "history", "booking")
	g.Expect(r.status).To(Equal(0), r.errOut)
	g.Expect(r.out).NotTo(ContainSubstring("unknown"))
}
