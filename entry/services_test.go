package entry_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/client"
	"github.com/chestnuthollow/chestnuthollow/entry"
	"github.com/chestnuthollow/chestnuthollow/standin/logserver"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const (
	ownerToken    = "token-of-himalaya"
	otherToken    = "token-of-kilimo--"
	platformToken = "token-of-platform"
)

// operator returns a client that publishes with the token. It waits until the entry
// is ready.
func (s *cluster) operator(token string) *client.Client {
	c, err := client.New(client.Options{
		Entries:      []string{"http://" + s.entries[0].HTTPAddr()},
		PublishToken: token,
		MaxRetries:   1,
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	Eventually(func() int {
		resp, err := http.Get("http://" + s.entries[0].HTTPAddr() + "/readyz")
		if err != nil {
			return 0
		}
		resp.Body.Close()
		return resp.StatusCode
	}, 30*time.Second, 50*time.Millisecond).Should(Equal(http.StatusOK))
	return c
}

func codeOf(err error) structs.ErrorCode {
	var e *structs.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

var _ = Describe("Publishing documents", func() {
	It("accepts edits only from the owner at the base revision and from the platform", func() {
		s := newCluster(0, 0)
		s.startEntryWith("entry-0", func(o *entry.Options) {
			o.PublishToken = platformToken
			o.PublishTokens = map[string]string{"himalaya": ownerToken, "kilimo": otherToken}
		})
		kilimoDocument := strings.ReplaceAll(bookingDocument, "himalaya", "kilimo")
		steps := []struct {
			token, text string
			base        uint64
			want        structs.ErrorCode
		}{
			{"", bookingDocument, 0, structs.CodeForbidden},
			{otherToken, bookingDocument, 0, structs.CodeForbidden},
			{ownerToken, bookingDocument, 0, ""},
			{otherToken, kilimoDocument, 1, structs.CodeForbidden},
			{otherToken, kilimoDocument, 0, structs.CodeConflict},
			{ownerToken, bookingDocument, 9, structs.CodeConflict}, // the base revision does not exist
			{platformToken, bookingDocument + "[limits]\nqueue = 3\n", 1, ""},
			{ownerToken, kilimoDocument, 2, ""}, // changes the owner
			{ownerToken, bookingDocument, 3, structs.CodeForbidden},
			{otherToken, kilimoDocument + "[limits]\nqueue = 3\n", 3, ""},
		}
		for i, step := range steps {
			_, err := s.operator(step.token).Apply(context.Background(), "booking", structs.Edit{Base: step.base, Text: step.text})
			Expect(codeOf(err)).To(Equal(step.want), "step %d: %v", i, err)
		}
	})

	It("rejects edits while the log is unavailable", func() {
		s := newCluster(0, 0)
		s.startEntryWith("entry-0", func(o *entry.Options) { o.PublishTokens = map[string]string{"himalaya": ownerToken} })
		operator := s.operator(ownerToken)
		_, err := operator.Apply(context.Background(), "booking", structs.Edit{Text: bookingDocument})
		Expect(err).NotTo(HaveOccurred())
		s.logs.SetFaults(logserver.Faults{Down: true})
		var status *structs.Status
		Eventually(func() string {
			var err error
			status, err = operator.Status(context.Background())
			Expect(err).NotTo(HaveOccurred())
			return status.LogError
		}, 30*time.Second, 50*time.Millisecond).ShouldNot(BeEmpty())
		Expect(status.Services).To(ConsistOf(structs.ServiceStatus{Service: "booking", Owner: "himalaya", Revision: 1}))
		for _, base := range []uint64{1, 2} { // this entry has not read a revision 2
			_, err := operator.Apply(context.Background(), "booking", structs.Edit{Base: base, Text: bookingDocument})
			Expect(codeOf(err)).To(Equal(structs.CodeUnavailable))
			Expect(client.Verdict(err)).To(Equal(structs.NotRun))
		}
	})
})
