package gateway

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/keyedlog"
	"github.com/chestnuthollow/chestnuthollow/session"
)

// Entries of earlier builds read the copy only from the uncompressed record and ignore
// other keys.
func TestConfigIsCopiedUncompressedIfItFits(t *testing.T) {
	g := NewWithT(t)
	gw := &Gateway{platform: Platform{ConfigKey: "config"}}
	small := session.Config{Version: 3, Text: bytes.Repeat([]byte("x"), maxCopyBytes)}
	g.Expect(gw.copyRecord(small)).To(Equal(keyedlog.Record{Key: "config", Value: small.Text}))

	large := session.Config{Version: 4, Text: bytes.Repeat([]byte("x"), maxCopyBytes+1)}
	record, err := gw.copyRecord(large)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(record.Key).To(Equal("config.gz"))
	g.Expect(session.Config{Gzip: record.Value}.Decompress()).To(HaveField("Text", large.Text))
}
