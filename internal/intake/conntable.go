package intake

import (
	"container/list"
	"time"
)

// receiveGrace is the time in which a request is expected to arrive as a whole. It covers a lost packet.
// A connection whose request takes longer is the first to be replaced.
const receiveGrace = time.Second

// phase is what a connection does.
type phase int

const (
	receiving phase = iota // its request has not arrived as a whole, or its response has not left, or it is new
	idle                   // its last request was answered
	serving                // its request has arrived and its response has not begun
)

// member is a connection in a connTable.
type member struct {
	phase   phase
	since   time.Time // when the phase began
	element *list.Element
	removed bool
	conn    *conn // nil in tests of the table
}

// connTable decides which connection is closed for a new one. It is not safe for concurrent use.
type connTable struct {
	limit int
	count int
	// order holds the connections of each phase but serving, in the order in which it began.
	order [serving]list.List
}

// add adds a connection in the phase receiving. If the table is full, it removes and returns the
// connection that has to be closed: one whose request should have arrived, else an idle one, else one whose
// request arrives; the oldest of its phase. If all are being served, it returns m itself.
func (t *connTable) add(now time.Time, m *member) (closed *member) {
	if t.count >= t.limit {
		if closed = t.oldest(now); closed == nil {
			m.removed = true
			return m
		}
		t.remove(closed)
	}
	t.count++
	t.enter(now, m, receiving)
	return closed
}

func (t *connTable) oldest(now time.Time) *member {
	late := t.order[receiving].Front()
	if late != nil && now.Sub(late.Value.(*member).since) >= receiveGrace {
		return late.Value.(*member)
	}
	for _, p := range []phase{idle, receiving} {
		if e := t.order[p].Front(); e != nil {
			return e.Value.(*member)
		}
	}
	return nil
}

// move begins a phase of a connection. It has no effect on one that was removed.
func (t *connTable) move(now time.Time, m *member, p phase) {
	if m.removed || m.phase == p {
		return
	}
	t.unlink(m)
	t.enter(now, m, p)
}

func (t *connTable) enter(now time.Time, m *member, p phase) {
	m.phase, m.since = p, now
	if p != serving {
		m.element = t.order[p].PushBack(m)
	}
}

// remove removes a connection. Further calls have no effect.
func (t *connTable) remove(m *member) {
	if m.removed {
		return
	}
	t.unlink(m)
	m.removed = true
	t.count--
}

func (t *connTable) unlink(m *member) {
	if m.element != nil {
		t.order[m.phase].Remove(m.element)
		m.element = nil
	}
}
