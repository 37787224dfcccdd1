package gateway

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/membership"
	"github.com/chestnuthollow/chestnuthollow/session"
)

// receiverWith returns the receiver of an entry with the given configuration.
func receiverWith(cfg session.Config) *receiver {
	g := &Gateway{members: membership.New("10.0.0.1:1"), config: newConfiguration()}
	g.config.current = cfg
	return &receiver{gateway: g}
}

// Entries that could not read the store asked a dozen peers three times a second, and
// each replied with the whole configuration of 250 KB. That filled the links of small
// entries, so that no copy arrived and versions six seconds old stayed in force.
func TestExchangeNamesVersionWithoutConfig(t *testing.T) {
	g := NewWithT(t)
	var text bytes.Buffer
	for i := range 2000 {
		fmt.Fprintf(&text, `{"name":"r-%d","host":"h%d.example","prefix":"/p%d/","service":"s","stretch":1.6},`, i, i%7, i)
	}
	cfg := session.Config{Version: 15, Text: text.Bytes()}
	r := receiverWith(cfg)
	from := session.Process{Role: session.RoleEntry, Addr: "10.0.0.2:1"}

	var reply session.ExchangeReply
	g.Expect(r.Exchange(&session.ExchangeRequest{From: from, ConfigVersion: 13, OmitConfig: true}, &reply)).To(Succeed())
	g.Expect(reply.ConfigVersion).To(Equal(int64(15)))
	g.Expect(reply.Config).To(Equal(session.Config{}))

	reply = session.ExchangeReply{}
	g.Expect(r.Exchange(&session.ExchangeRequest{From: from, ConfigVersion: 13, AcceptGzip: true}, &reply)).To(Succeed())
	g.Expect(reply.Config.Text).To(BeEmpty())
	g.Expect(len(reply.Config.Gzip)).To(BeNumerically("<", len(cfg.Text)/5))
	g.Expect(reply.Config.Decompress()).To(Equal(cfg))

	reply = session.ExchangeReply{}
	g.Expect(r.Exchange(&session.ExchangeRequest{From: from, ConfigVersion: 13}, &reply)).To(Succeed())
	g.Expect(reply.Config).To(Equal(cfg), "a process of an earlier build")

	reply = session.ExchangeReply{}
	g.Expect(r.Exchange(&session.ExchangeRequest{From: from, ConfigVersion: 15}, &reply)).To(Succeed())
	g.Expect(reply.Config).To(Equal(session.Config{}), "the sender has this version")
}

func TestSubsetOfStartingEntryIsSmall(t *testing.T) {
	g := NewWithT(t)
	start := time.Now()
	gw := &Gateway{members: membership.New("10.0.0.1:1"), startedAt: start, widening: 1}
	gw.members.AddSeeds(start, []string{"10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"})
	g.Expect(gw.subsetSize(160, start)).To(Equal(32))
	g.Expect(gw.subsetSize(160, start.Add(settleTime))).To(Equal(160), "three other entries cannot cover all agents")
	for i := range 31 {
		gw.members.Add(start, session.Process{Role: session.RoleEntry, Addr: fmt.Sprintf("10.0.1.%d:1", i)})
	}
	g.Expect(gw.subsetSize(160, start.Add(settleTime))).To(Equal(37))
	gw.widening = maxWidening
	g.Expect(gw.subsetSize(160, start.Add(settleTime))).To(Equal(74))
	g.Expect(gw.subsetSize(40, start.Add(settleTime))).To(Equal(40))
}
