package coordinator

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/document"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// countTransfers counts the documents pushed and fetched among the effects.
func countTransfers(effects []Effect) (pushed, fetched int) {
	for _, eff := range effects {
		switch eff.(type) {
		case PushDocument:
			pushed++
		case FetchDocument:
			fetched++
		}
	}
	return pushed, fetched
}

// A document transfer whose message was lost, in either direction, is retried
// with a backoff of up to one minute.
func TestLostDocumentTransferIsRetried(t *testing.T) {
	g := NewWithT(t)
	s := newHarness()
	s.addService(agentA)
	doc := &document.Document{Service: "booking", Owner: "himalaya"}
	pushed, _ := countTransfers(s.step(DocumentChanged{Record: structs.DocumentRecord{Service: "booking", Revision: 2}, Document: doc}))
	g.Expect(pushed).To(Equal(1))
	pushed, _ = countTransfers(s.step(Ticked{}))
	g.Expect(pushed).To(BeZero())
	pushed, _ = countTransfers(s.advance(transferRetryDelay).step(Ticked{}))
	g.Expect(pushed).To(Equal(1), "the first push was lost, so it is retried")

	newer := s.nextState(agentA)
	newer.Revision = 3
	_, fetched := countTransfers(s.step(AgentStateReceived{Agent: agentA, State: newer}))
	g.Expect(fetched).To(Equal(1))
	total := 0
	for range 600 {
		newer.Seq++
		_, fetched := countTransfers(s.advance(time.Second).step(AgentStateReceived{Agent: agentA, State: newer}))
		total += fetched
	}
	g.Expect(total).To(And(BeNumerically(">=", 600/60), BeNumerically("<=", 600/60+6)))
}
