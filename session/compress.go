package session

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"sync"
)

// maxConfigBytes bounds the text of a configuration, in bytes: about 20,000 queues.
// Operators' records may be larger than the platform's limit for records of others.
const maxConfigBytes = 4 << 20

// Compress returns the configuration with its text compressed. A configuration of
// thousands of queues is ten times smaller then, which matters on the links of small
// entries.
func (c Config) Compress() (Config, error) {
	if len(c.Text) == 0 {
		return c, nil
	}
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	if _, err := w.Write(c.Text); err != nil {
		return Config{}, fmt.Errorf("compress configuration %d: %w", c.Version, err)
	}
	if err := w.Close(); err != nil {
		return Config{}, fmt.Errorf("compress configuration %d: %w", c.Version, err)
	}
	return Config{Version: c.Version, Gzip: buf.Bytes()}, nil
}

// Compressor compresses each version of the configuration once, for all processes that
// ask for it. Its zero value is ready for use.
type Compressor struct {
	mu   sync.Mutex
	last Config // compressed
}

// Compress returns the configuration with its text compressed.
func (c *Compressor) Compress(cfg Config) (Config, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Version == cfg.Version {
		return c.last, nil
	}
	compressed, err := cfg.Compress()
	if err != nil {
		return Config{}, err
	}
	if cfg.Version > c.last.Version {
		c.last = compressed
	}
	return compressed, nil
}

// Decompress returns the configuration with its text, whether or not it was
// compressed.
func (c Config) Decompress() (Config, error) {
	if len(c.Gzip) == 0 {
		return c, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(c.Gzip))
	if err != nil {
		return Config{}, fmt.Errorf("decompress configuration %d: %w", c.Version, err)
	}
	text, err := io.ReadAll(io.LimitReader(r, maxConfigBytes+1))
	if err != nil {
		return Config{}, fmt.Errorf("decompress configuration %d: %w", c.Version, err)
	}
	if len(text) > maxConfigBytes {
		return Config{}, fmt.Errorf("decompress configuration %d: text exceeds %d bytes", c.Version, maxConfigBytes)
	}
	return Config{Version: c.Version, Text: text}, nil
}
