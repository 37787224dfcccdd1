package session_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/session"
)

func TestConfigIsTheSameAfterCompression(t *testing.T) {
	g := NewWithT(t)
	cfg := session.Config{Version: 3, Text: bytes.Repeat([]byte("text "), 1000)}
	compressed, err := cfg.Compress()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(compressed.Text).To(BeEmpty())
	g.Expect(compressed.Decompress()).To(Equal(cfg))
	g.Expect(cfg.Decompress()).To(Equal(cfg), "not compressed")
	g.Expect(session.Config{}.Compress()).To(Equal(session.Config{}))
}

// A malformed or oversized text must not be used, nor take the memory of the process.
func TestMalformedCompressedConfigIsAnError(t *testing.T) {
	g := NewWithT(t)
	_, err := session.Config{Version: 3, Gzip: []byte("no gzip")}.Decompress()
	g.Expect(err).To(HaveOccurred())
	huge, err := session.Config{Version: 3, Text: make([]byte, 8<<20)}.Compress()
	g.Expect(err).NotTo(HaveOccurred())
	_, err = huge.Decompress()
	g.Expect(err).To(MatchError(ContainSubstring("exceeds")))
	cut := session.Config{Version: 3, Gzip: huge.Gzip[:len(huge.Gzip)/2]}
	_, err = cut.Decompress()
	g.Expect(err).To(HaveOccurred())
}

// Guards against entries that keep an old configuration: they rejected one of more
// than a megabyte from a peer or an agent. Operators grow it by thousands of queues.
func TestConfigOfTenThousandQueuesIsDecompressed(t *testing.T) {
	g := NewWithT(t)
	const queues, bytesPerQueue = 10_000, 200
	cfg := session.Config{Version: 3, Text: bytes.Repeat([]byte("q"), queues*bytesPerQueue)}
	compressed, err := cfg.Compress()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(compressed.Decompress()).To(Equal(cfg))
}

// Guards against an agent that compresses the configuration anew for each entry that
// asks, when all entries have restarted.
func TestCompressorCompressesEachVersionOnce(t *testing.T) {
	g := NewWithT(t)
	var c session.Compressor
	cfg := session.Config{Version: 3, Text: []byte("text")}
	first, err := c.Compress(cfg)
	g.Expect(err).NotTo(HaveOccurred())
	again, err := c.Compress(cfg)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(&again.Gzip[0]).To(BeIdenticalTo(&first.Gzip[0]))

	newer, err := c.Compress(session.Config{Version: 4, Text: []byte("newer")})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(newer.Decompress()).To(Equal(session.Config{Version: 4, Text: []byte("newer")}))
	g.Expect(c.Compress(session.Config{})).To(Equal(session.Config{}), "no configuration yet")
}
