package gateway

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/evacuation"
	"github.com/chestnuthollow/chestnuthollow/keyedlog"
	"github.com/chestnuthollow/chestnuthollow/membership"
	"github.com/chestnuthollow/chestnuthollow/session"
)

// FuzzAnnouncement: an odd announcement hides no agent, and adds none that cannot be used.
func FuzzAnnouncement(f *testing.F) {
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		var out strings.Builder
		gw := newIdleGateway(&out)
		(&membersHandler{gateway: gw}).HandleBatch(keyedlog.Batch{Records: []keyedlog.Record{
			{Key: key, Value: value},
			{Key: "good", Value: []byte(`{"name":"good","role":"agent","addr":"10.9.9.9:7720","incarnation":"00000000000000ff","service":"s"}`), Offset: 1},
		}})
		list := gw.members.List("")
		NewWithT(t).Expect(list).To(ContainElement(HaveField("Name", "good")))
		for _, p := range list {
			if err := membership.Check(p); err != nil {
				t.Error(err)
			}
		}
	})
}

// FuzzCopies: an odd copy of the evacuations does not keep a later record out of force, and
// an odd copy of the configuration ends nothing.
func FuzzCopies(f *testing.F) {
	f.Fuzz(func(t *testing.T, value []byte) {
		var out strings.Builder
		gw := newIdleGateway(&out)
		gw.platform.EvacuationKeyPrefix, gw.platform.ConfigKey = "evacuate/", "config"
		gw.useEvacuationCopy(keyedlog.Record{Value: value}, "copy")
		e := gw.evacuation()
		if err := evacuation.Check(e); err != nil {
			t.Error(err)
		}
		gw.readEvacuations(keyedlog.Batch{Records: []keyedlog.Record{{Key: "evacuate/good", Value: []byte("1"), Offset: e.Version + 1}}})
		NewWithT(t).Expect(gw.evacuation().Zones).To(ContainElement("good"))
		cfg, err := session.Config{Gzip: value}.Decompress()
		if err == nil && len(cfg.Text) > 4<<20 {
			t.Errorf("a text of %d bytes", len(cfg.Text))
		}
	})
}
