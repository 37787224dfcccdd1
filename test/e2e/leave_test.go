package e2e_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// leaveBound is the time after which a leaving backend server must get no new
// tasks. The requirement says "a few seconds".
const leaveBound = 5 * time.Second

// TestLeavingBackendServerGetsNoTasks publishes under load that a backend
// server leaves, while one entry is frozen and gets the document late. After
// leaveBound the server must start no task, and no job may fail.
func TestLeavingBackendServerGetsNoTasks(t *testing.T) {
	t.Parallel()
	c := newSystem(t)
	h := &history{}
	l := c.startLoad(h, 6, 5, 10)
	l.waitForMore(30)
	c.entries[1].freeze()
	edit := structs.Edit{EditID: "leave", Base: 1, Text: documentText("[leave]\nbackend_servers = [\"agent-1\"]\n")}
	var r structs.DocumentRecord
	k := newCaller(c, &history{})
	code, failed := k.do(http.MethodPut, c.entries[0].url()+"/v1/services/"+serviceName, edit, &r)
	c.g.Expect(code).To(Equal(http.StatusOK), "%v", failed)
	left := time.Now()
	time.Sleep(shortFreeze)
	c.entries[1].resume()
	time.Sleep(time.Until(left.Add(leaveBound)))
	l.waitForMore(100)
	l.stopAndWait()
	others := 0
	for _, s := range c.starts() {
		if s.At < left.Add(leaveBound).UnixNano() {
			continue
		}
		if s.Server == c.backends[0].name {
			t.Errorf("task %s started at the leaving backend server %v after the edit", s.Token, time.Unix(0, s.At).Sub(left))
		} else {
			others++
		}
	}
	c.g.Expect(others).To(BeNumerically(">", 0))
	v := c.check(h)
	c.g.Expect(l.failed.Load()).To(BeZero(), "%+v", v)
}
