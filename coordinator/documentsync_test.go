package coordinator

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/document"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// handed counts the documents pushed and fetched among the effects.
func handed(effects []Effect) (pushed, fetched int) {
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

// TestLostHandoverIsRepeated: a revision whose message was lost, in either
// direction, is handed over again, but seldom if that does not help.
func TestLostHandoverIsRepeated(t *testing.T) {
	g := NewWithT(t)
	s := newSession()
	s.service(agentA)
	doc := &document.Document{Service: "booking", Owner: "himalaya"}
	pushed, _ := handed(s.step(DocumentChanged{Record: structs.DocumentRecord{Service: "booking", Revision: 2}, Document: doc}))
	g.Expect(pushed).To(Equal(1))
	pushed, _ = handed(s.step(Ticked{}))
	g.Expect(pushed).To(BeZero())
	pushed, _ = handed(s.after(transferRetryDelay).step(Ticked{}))
	g.Expect(pushed).To(Equal(1), "the first one was lost")

	newer := s.state(agentA)
	newer.Revision = 3
	_, fetched := handed(s.step(AgentStateReceived{Agent: agentA, State: newer}))
	g.Expect(fetched).To(Equal(1))
	total := 0
	for range 600 {
		newer.Seq++
		_, fetched := handed(s.after(time.Second).step(AgentStateReceived{Agent: agentA, State: newer}))
		total += fetched
	}
	g.Expect(total).To(And(BeNumerically(">=", 600/60), BeNumerically("<=", 600/60+6)))
}
