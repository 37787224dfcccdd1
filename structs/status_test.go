package structs_test

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// TestStatusWithUnreportedAgentRoundTrips guards against a status that is encoded
// but cannot be decoded: the state of an agent that has not reported one yet has
// the incarnation zero, which is not valid elsewhere.
func TestStatusWithUnreportedAgentRoundTrips(t *testing.T) {
	g := NewWithT(t)
	st := structs.Status{
		Entry:  structs.EntryInfo{Incarnation: 1},
		Agents: []structs.AgentStatus{{Info: structs.AgentInfo{Incarnation: 2}}},
	}
	text, err := json.Marshal(st)
	g.Expect(err).NotTo(HaveOccurred())
	var got structs.Status
	g.Expect(json.Unmarshal(text, &got)).To(Succeed())
	g.Expect(got).To(Equal(st))
}

func TestParsingRejectsZeroIncarnation(t *testing.T) {
	g := NewWithT(t)
	zero := structs.Incarnation(0).String()
	_, err := structs.ParseIncarnation(zero)
	g.Expect(err).To(HaveOccurred())
	var id structs.JobID
	g.Expect(id.UnmarshalText([]byte(zero + "-1"))).NotTo(Succeed())
}
