package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/routing"
	"github.com/chestnuthollow/chestnuthollow/session"
)

// An entry whose subset lacks the rack that a job wants.
func TestAgentsOfWantedRackAreConnected(t *testing.T) {
	g := NewWithT(t)
	stopped, stop := context.WithCancel(context.Background())
	stop() // connectors end before they dial
	gw := &Gateway{
		self: session.Process{Addr: "10.0.0.1:1"}, background: stopped, connectors: make(map[string]*agentConnector),
		dispatcher: dispatch.New(dispatch.Options{FarFactor: 2, Scheduling: dispatch.Scheduling{Places: true}}),
	}
	var agents []session.Process
	for i := range 160 {
		agents = append(agents, session.Process{Role: session.RoleAgent, Addr: fmt.Sprintf("10.0.1.%d:1", i), Rack: fmt.Sprint("r", i/8)})
	}
	connected := func(now time.Time) int {
		wanted := make(map[string]bool)
		racks := gw.wantedRacks(now)
		gw.connectorsMu.Lock()
		defer gw.connectorsMu.Unlock()
		gw.connectRacks(agents, racks, wanted)
		return len(wanted)
	}
	now := time.Now()
	g.Expect(connected(now)).To(BeZero())
	submit := func(j dispatch.Job) {
		j.Tasks, j.Queue, j.Timeout = 2, routing.Queue{Name: "q", Service: "s"}, time.Second
		gw.dispatcher.Step(now, dispatch.SubmitCalled{Job: j})
	}
	submit(dispatch.Job{Name: "near data", Rack: "r7"})
	g.Expect(connected(now)).To(Equal(8))
	submit(dispatch.Job{Name: "group", OneRack: true})
	g.Expect(connected(now)).To(BeElementOf(16, 24), "two racks more, of which one may be the wanted one")
	g.Expect(connected(now.Add(time.Minute))).To(BeZero())
}
