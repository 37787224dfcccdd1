package gateway

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/internal/intake"
	"github.com/chestnuthollow/chestnuthollow/keyedlog"
	"github.com/chestnuthollow/chestnuthollow/membership"
	"github.com/chestnuthollow/chestnuthollow/session"
)

// newIdleGateway returns an entry that has no listeners and opens no sessions. It logs to
// out.
func newIdleGateway(out *strings.Builder) *Gateway {
	g := &Gateway{
		logger: log.NewLogfmtLogger(log.NewSyncWriter(out)), members: membership.New("10.0.0.1:1"), config: newConfiguration(), startedAt: time.Now(), widening: 1,
		connectors: make(map[string]*agentConnector), dispatcher: dispatch.New(dispatch.Options{}), turns: newTurnQueue(), bodies: intake.NewPool(intake.Limits{}, log.NewNopLogger()), wakeTimer: time.NewTimer(time.Hour), calls: make(map[dispatch.CallID]*pendingCall),
	}
	g.metrics = newMetrics(g)
	var stop context.CancelFunc
	g.background, stop = context.WithCancel(context.Background())
	stop()
	return g
}

// Guards against an entry that ends, or does not find agents, because of an announcement
// of another writer beside theirs.
func TestOddAnnouncementHidesNoAgent(t *testing.T) {
	const good = `{"name":"good","role":"agent","addr":"10.0.0.2:7720","incarnation":"00000000000000ff","service":"s"}`
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for name, value := range map[string]string{
		"port out of range": `{"name":"odd","role":"agent","addr":"10.0.0.3:77200"}`,
		"no port":           `{"name":"odd","role":"agent","addr":"10.0.0.3"}`,
		"host name":         `{"name":"odd","role":"agent","addr":"agent.example:80"}`,
		"large number":      `{"name":"odd","role":"agent","addr":99999999999999999999}`,
		"incarnation":       `{"name":"odd","role":"agent","addr":"10.0.0.3:1","incarnation":1e400}`,
		"deeply nested":     `{"name":"odd","role":"agent","addr":"10.0.0.3:1","server":` + deep + `}`,
		"not JSON":          "\x00\xff",
		"list":              `[1]`,
		"null":              `null`,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var out strings.Builder
			gw := newIdleGateway(&out)
			h := &membersHandler{gateway: gw}
			h.HandleBatch(keyedlog.Batch{Records: []keyedlog.Record{
				{Key: "odd", Value: []byte(value), Offset: 4}, {Key: "gone", Offset: 5}, {Key: "good", Value: []byte(good), Offset: 6},
			}, Skipped: []error{fmt.Errorf("items[9]: key: missing")}})
			g.Expect(gw.members.List(session.RoleAgent)).To(ConsistOf(HaveField("Name", "good")))
			g.Expect(out.String()).To(And(ContainSubstring("member_unreadable key=odd offset=4"), ContainSubstring("items[9]")))
			g.Expect(out.String()).NotTo(ContainSubstring("key=gone"))
		})
	}
}

// Guards against a copy of the evacuations that keeps all later ones out of force, because
// its version is beyond any offset, and against one odd copy that hides the others.
func TestOddCopyHidesNoOther(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	gw := newIdleGateway(&out)
	for _, value := range []string{`{"version":9223372036854775807,"zones":["x"]}`, `{"version":1e300}`, `{"version":-1,"zones":["x"]}`, `[`, strings.Repeat("[", 20_000)} {
		gw.useEvacuationCopy(keyedlog.Record{Value: []byte(value)}, "copy")
	}
	g.Expect(gw.evacuation()).To(Equal(session.Evacuation{}))
	g.Expect(strings.Count(out.String(), "evacuations_unreadable")).To(Equal(5))
	gw.platform.EvacuationKeyPrefix = "evacuate/"
	gw.readEvacuations(keyedlog.Batch{Records: []keyedlog.Record{{Key: "evacuate/zone-a", Value: []byte("1"), Offset: 3}}})
	g.Expect(gw.evacuation().Zones).To(ConsistOf("zone-a"))
}

// Guards against an evacuation that ends because its record is among those of a snapshot
// that could not be read.
func TestIncompleteSnapshotWithdrawsNoEvacuation(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	gw := newIdleGateway(&out)
	gw.platform.EvacuationKeyPrefix = "evacuate/"
	record := func(zone string, offset int64) keyedlog.Record {
		return keyedlog.Record{Key: "evacuate/" + zone, Value: []byte("1"), Offset: offset}
	}
	gw.readEvacuations(keyedlog.Batch{Snapshot: true, Records: []keyedlog.Record{record("zone-a", 3)}, Next: 4})
	gw.readEvacuations(keyedlog.Batch{Snapshot: true, Records: []keyedlog.Record{record("zone-b", 6), record("zone-c", 5)}, Next: 9, Skipped: []error{fmt.Errorf("items[0]")}})
	g.Expect(gw.evacuation().Zones).To(Equal([]string{"zone-a", "zone-b", "zone-c"}))
	gw.readEvacuations(keyedlog.Batch{Snapshot: true, Records: []keyedlog.Record{record("zone-b", 6)}, Next: 10})
	g.Expect(gw.evacuation().Zones).To(Equal([]string{"zone-b"}))
}

// Guards against an exchange that adds a process to which nobody can connect.
func TestExchangeWithUnusableProcessIsRejected(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	gw := newIdleGateway(&out)
	var reply session.ExchangeReply
	err := (&receiver{gateway: gw}).Exchange(&session.ExchangeRequest{From: session.Process{Name: "odd", Role: session.RoleAgent, Addr: "10.0.0.3:77200"}}, &reply)
	g.Expect(err).To(MatchError(ContainSubstring("addr:")))
	g.Expect(gw.members.List("")).To(BeEmpty())
}
