// Package keyedstore is a stand-in of the users' platform's store: topics that
// keep the newest record of each key, over the platform's HTTP interface.
package keyedstore

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/chestnuthollow/chestnuthollow/internal/ops"
)

// Mode is a fault of the store.
type Mode int

// Modes.
const (
	Serving       Mode = iota
	Unresponsive       // no answer
	Unavailable        // 503: nothing was done
	LosingReplies      // done, and not answered
)

// maxBody bounds an append in bytes.
const maxBody = 2 << 20

// Store is the stand-in. Its zero value is not ready; use New.
type Store struct {
	mu      sync.Mutex
	changed chan struct{} // closed at each append
	topics  map[string]*topic
	mode    Mode
	delay   time.Duration
	of      string // the only topic that the mode holds for; empty for all
}

type topic struct {
	first   int64
	records []record // from first on
	newest  map[string]record
	order   []string // keys by first appearance
}

type record struct {
	key    string
	value  []byte
	raw    []byte
	offset int64
}

// New returns an empty store.
func New() *Store {
	return &Store{changed: make(chan struct{}), topics: make(map[string]*topic)}
}

// SetMode sets the fault, and how much later all answers come.
func (s *Store) SetMode(m Mode, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode, s.delay, s.of = m, delay, ""
}

// SetTopicMode sets the fault of one topic; the others are served.
func (s *Store) SetTopicMode(topic string, m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode, s.delay, s.of = m, 0, topic
}

// Newest returns the newest value of a key, or nothing.
func (s *Store) Newest(topic, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(topic).newest[key].value
}

// Put writes a record as the operators do.
func (s *Store) Put(topic, key string, value []byte) {
	content := append(append([]byte{byte(len(key))}, key...), value...)
	s.append(topic, content)
}

// Truncate drops the records of a topic but for the newest of each key.
func (s *Store) Truncate(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first += int64(len(t.records))
	t.records = nil
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]record)}
		s.topics[name] = t
	}
	return t
}

func (s *Store) append(name string, content []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	n := int(content[0])
	r := record{key: string(content[1 : 1+n]), value: content[1+n:], raw: content, offset: t.first + int64(len(t.records))}
	t.records = append(t.records, r)
	if _, ok := t.newest[r.key]; !ok {
		t.order = append(t.order, r.key)
	}
	t.newest[r.key] = r
	close(s.changed)
	s.changed = make(chan struct{})
	return r.offset
}

// Handler serves the store.
func (s *Store) Handler() http.Handler {
	e := ops.NewServer()
	e.Use(s.faults)
	e.POST("/chestnuthollow/log-append", s.serveAppend)
	e.GET("/chestnuthollow/log-read", s.serveRead)
	e.GET("/chestnuthollow/log-newest", s.serveNewest)
	return e
}

func (s *Store) faults(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.mu.Lock()
		mode, delay := s.mode, s.delay
		if s.of != "" && s.of != c.QueryParam("topic") {
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
			c.Response().Writer = discard{c.Response().Writer}
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

// discard drops an answer.
type discard struct{ http.ResponseWriter }

func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) WriteHeader(int)             {}

func (s *Store) serveAppend(c echo.Context) error {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBody))
	if err != nil || len(body) < 5 {
		return c.NoContent(http.StatusBadRequest)
	}
	name := c.QueryParam("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		return c.NoContent(http.StatusForbidden)
	}
	first := int64(-1)
	for len(body) > 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n < 1 || n > len(body)-4 || int(body[4]) >= n {
			return c.NoContent(http.StatusBadRequest)
		}
		if at := s.append(name, append([]byte(nil), body[4:4+n]...)); first < 0 {
			first = at
		}
		body = body[4+n:]
	}
	return c.JSON(http.StatusOK, map[string]int64{"offset": first, "endOffset": first + 1})
}

func (s *Store) serveRead(c echo.Context) error {
	from, err := strconv.ParseInt(c.QueryParam("from"), 10, 64)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	wait, _ := strconv.Atoi(c.QueryParam("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		body, gone, changed := s.read(c.QueryParam("topic"), from)
		if gone {
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

func (s *Store) read(name string, from int64) (body []byte, gone bool, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if from < t.first {
		return nil, true, s.changed
	}
	body = binary.BigEndian.AppendUint64(nil, uint64(t.first)+uint64(len(t.records)))
	body = binary.BigEndian.AppendUint64(body, uint64(t.first))
	for _, r := range t.records[min(from-t.first, int64(len(t.records))):] {
		body = append(binary.BigEndian.AppendUint32(body, uint32(len(r.raw))), r.raw...)
	}
	return body, false, s.changed
}

func (s *Store) serveNewest(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(c.QueryParam("topic"))
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	items := []item{}
	for _, k := range t.order {
		if r := t.newest[k]; len(r.value) > 0 {
			items = append(items, item{r.key, r.value, r.offset})
		}
	}
	reply, err := json.Marshal(map[string]any{"items": items, "hasMore": false, "endOffset": t.first + int64(len(t.records))})
	if err != nil {
		return err
	}
	return c.JSONBlob(http.StatusOK, reply)
}
