package e2e_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// leaveBound is the stated target, "a few seconds", after which a leaving
// backend server gets no new work.
const leaveBound = 5 * time.Second

// TestLeavingServerGetsNoWork publishes under load that a backend server leaves,
// while one entry is frozen and misses the news. After the bound it starts
// nothing, and no job fails for it.
func TestLeavingServerGetsNoWork(t *testing.T) {
	t.Parallel()
	c := newSystem(t)
	h := &history{}
	l := c.startLoad(h, 6, 5, 10)
	l.more(30)
	c.entries[1].freeze()
	edit := structs.Edit{EditID: "leave", Base: 1, Text: document("[leave]\nbackend_servers = [\"agent-1\"]\n")}
	var r structs.DocumentRecord
	k := newCaller(c, &history{})
	code, refused := k.do(http.MethodPut, c.entries[0].url()+"/v1/services/"+serviceName, edit, &r)
	c.g.Expect(code).To(Equal(http.StatusOK), "%v", refused)
	left := time.Now()
	time.Sleep(shortFreeze)
	c.entries[1].resume()
	time.Sleep(time.Until(left.Add(leaveBound)))
	l.more(100)
	l.end()
	others := 0
	for _, s := range c.starts() {
		if s.At < left.Add(leaveBound).UnixNano() {
			continue
		}
		if s.Server == c.servers[0].name {
			t.Errorf("task %s started %v after the edit at a server that leaves", s.Token, time.Unix(0, s.At).Sub(left))
		} else {
			others++
		}
	}
	c.g.Expect(others).To(BeNumerically(">", 0))
	v := c.check(h)
	c.g.Expect(l.refused.Load()).To(BeZero(), "%+v", v)
}
