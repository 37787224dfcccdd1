package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/coordinator"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// A request whose caller had disconnected was held until the pause before the next
// attempt to reach the job's home was over.
func TestForwardEndsWithItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		peers := newPeerTable(structs.EntryInfo{Incarnation: 1})
		ctx, cancel := context.WithTimeout(t.Context(), forwardRetryDelay/10)
		defer cancel()
		started := time.Now()
		out := peers.forward(ctx, coordinator.Forward{Home: structs.EntryInfo{Incarnation: 2}, Op: structs.OpGet}, time.Minute)
		g.Expect(time.Since(started)).To(Equal(forwardRetryDelay / 10))
		g.Expect(out.err.Code).To(Equal(structs.CodeHomeLost))
		g.Expect(out.err.Verdict).To(Equal(structs.MayHaveRun))
		g.Expect(out.sent).To(BeFalse())
	})
}
