// Package keyedstore is a stand-in for the store of the users' platform: topics of
// records with keys, of which the newest of each key is always retained, served over the
// platform's HTTP interface.
package keyedstore

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/chestnuthollow/chestnuthollow/internal/ops"
)

// Mode is the kind of fault that the store shows.
type Mode int

// Modes.
const (
	Serving       Mode = iota // no fault
	Unresponsive              // gives no reply and carries nothing out
	Unavailable               // replies 503 and carries nothing out
	LosingReplies             // carries out the call and gives no reply
)

const (
	// maxBody bounds an append in bytes.
	maxBody = 2 << 20
	// defaultReadKB bounds the reply to a read that names no limit, in KB.
	defaultReadKB = 1024
)

// Store is the stand-in. It has to be created with New.
type Store struct {
	mu        sync.Mutex
	topics    map[string]*topic
	mode      Mode
	delay     time.Duration
	modeTopic string // the only topic that the mode applies to; empty for all
}

type topic struct {
	changed     chan struct{} // closed and replaced at each append
	firstOffset int64
	records     []record // the retained ones, the first with offset firstOffset
	newest      map[string]record
	keyOrder    []string // keys in the order of their first record
}

type record struct {
	key    string
	value  []byte
	raw    []byte // encoded, without its length
	item   []byte // encoded for log-newest, without its offset and what follows
	offset int64
}

// New returns an empty store.
func New() *Store {
	return &Store{topics: make(map[string]*topic)}
}

// SetMode sets the fault of all topics and the delay of calls in mode Serving.
func (s *Store) SetMode(m Mode, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode, s.delay, s.modeTopic = m, delay, ""
}

// SetTopicMode sets the fault of one topic. The other topics have none, and no calls
// are delayed.
func (s *Store) SetTopicMode(topic string, m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode, s.delay, s.modeTopic = m, 0, topic
}

// Newest returns the newest value of a key, or nil.
func (s *Store) Newest(topic, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(topic).newest[key].value
}

// Put appends a record to any topic, also to those that only the platform and its
// operators write.
func (s *Store) Put(topic, key string, value []byte) {
	content := append(append([]byte{byte(len(key))}, key...), value...)
	s.append(topic, content)
}

// Truncate discards all records of a topic. The newest record of each key remains
// available through Newest and log-newest.
func (s *Store) Truncate(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.firstOffset += int64(len(t.records))
	t.records = nil
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{changed: make(chan struct{}), newest: make(map[string]record)}
		s.topics[name] = t
	}
	return t
}

// append appends records, each encoded without its length, and returns the offset of the
// first of them.
func (s *Store) append(name string, contents ...[]byte) int64 {
	records := make([]record, len(contents))
	for i, content := range contents {
		n := int(content[0])
		records[i] = record{key: string(content[1 : 1+n]), value: content[1+n:], raw: content}
		records[i].item = encodeItem(records[i].key, records[i].value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	first := t.endOffset()
	for _, r := range records {
		r.offset = t.endOffset()
		t.records = append(t.records, r)
		if _, ok := t.newest[r.key]; !ok {
			t.keyOrder = append(t.keyOrder, r.key)
		}
		t.newest[r.key] = r
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return first
}

// endOffset returns the offset after the last record.
func (t *topic) endOffset() int64 { return t.firstOffset + int64(len(t.records)) }

// Handler serves the store.
func (s *Store) Handler() http.Handler {
	e := ops.NewServer()
	e.Use(s.injectFaults)
	e.POST("/chestnuthollow/log-append", s.serveAppend)
	e.GET("/chestnuthollow/log-read", s.serveRead)
	e.GET("/chestnuthollow/log-newest", s.serveNewest)
	return e
}

// injectFaults applies the mode and the delay to a call.
func (s *Store) injectFaults(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.mu.Lock()
		mode, delay := s.mode, s.delay
		if s.modeTopic != "" && s.modeTopic != c.QueryParam("topic") {
			mode = Serving
		}
		s.mu.Unlock()
		switch mode {
		case Unavailable:
			return c.NoContent(http.StatusServiceUnavailable)
		case Unresponsive:
			<-c.Request().Context().Done()
			return nil
		case LosingReplies:
			c.Response().Writer = discardReply{c.Response().Writer}
			if err := next(c); err != nil {
				return err
			}
			<-c.Request().Context().Done()
			return nil
		}
		time.Sleep(delay)
		return next(c)
	}
}

// discardReply discards what is written to it.
type discardReply struct{ http.ResponseWriter }

func (discardReply) Write(p []byte) (int, error) { return len(p), nil }
func (discardReply) WriteHeader(int)             {}

func (s *Store) serveAppend(c echo.Context) error {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBody))
	if err != nil || len(body) < 5 {
		return c.NoContent(http.StatusBadRequest)
	}
	name := c.QueryParam("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		return c.NoContent(http.StatusForbidden)
	}
	var contents [][]byte
	for len(body) > 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n < 1 || n > len(body)-4 || int(body[4]) >= n {
			return c.NoContent(http.StatusBadRequest)
		}
		contents = append(contents, body[4:4+n])
		body = body[4+n:]
	}
	first := s.append(name, contents...)
	return c.JSON(http.StatusOK, map[string]int64{"offset": first, "endOffset": first + int64(len(contents))})
}

func (s *Store) serveRead(c echo.Context) error {
	from, err := strconv.ParseInt(c.QueryParam("from"), 10, 64)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	wait, _ := strconv.Atoi(c.QueryParam("waitMs"))
	maxKB, err := strconv.Atoi(c.QueryParam("maxKb"))
	if err != nil {
		maxKB = defaultReadKB
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		body, truncated, changed := s.read(c.QueryParam("topic"), from, maxKB<<10)
		if truncated {
			return c.NoContent(http.StatusGone)
		}
		if len(body) > 16 {
			return c.Blob(http.StatusOK, "application/octet-stream", body)
		}
		select {
		case <-changed:
		case <-c.Request().Context().Done():
			return nil
		case <-timer.C:
			return c.Blob(http.StatusOK, "application/octet-stream", body)
		}
	}
}

// read returns the reply to a read from an offset on, with at least one record if there
// is any and as many as fit into maxBytes. It reports whether records from that offset
// on have been discarded, and returns the channel that is closed at the topic's next append.
func (s *Store) read(name string, from int64, maxBytes int) (body []byte, truncated bool, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if from < t.firstOffset {
		return nil, true, t.changed
	}
	body = binary.BigEndian.AppendUint64(nil, uint64(t.endOffset()))
	body = binary.BigEndian.AppendUint64(body, uint64(t.firstOffset))
	for i, r := range t.records[min(from-t.firstOffset, int64(len(t.records))):] {
		if i > 0 && len(body)+len(r.raw) > maxBytes {
			break
		}
		body = append(binary.BigEndian.AppendUint32(body, uint32(len(r.raw))), r.raw...)
	}
	return body, false, t.changed
}

// encodeItem encodes a record for log-newest, up to its offset. A large one is encoded once, and not
// for each reader.
func encodeItem(key string, value []byte) []byte {
	text, err := json.Marshal(struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
	}{key, value})
	if err != nil {
		panic(err) // strings and bytes can always be encoded
	}
	return text[:len(text)-1]
}

func (s *Store) serveNewest(c echo.Context) error {
	items, end := s.newest(c.QueryParam("topic"))
	reply := []byte(`{"items":[`)
	for i, r := range items {
		if i > 0 {
			reply = append(reply, ',')
		}
		reply = append(reply, r.item...)
		reply = fmt.Appendf(reply, `,"offset":%d}`, r.offset)
	}
	reply = fmt.Appendf(reply, `],"hasMore":false,"endOffset":%d}`, end)
	return c.JSONBlob(http.StatusOK, reply)
}

// newest returns the newest record of each key of a topic, and the offset after the last record.
func (s *Store) newest(name string) (items []record, end int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	for _, k := range t.keyOrder {
		if r := t.newest[k]; len(r.value) > 0 {
			items = append(items, r)
		}
	}
	return items, t.endOffset()
}
