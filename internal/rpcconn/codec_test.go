package rpcconn_test

import (
	"encoding/gob"
	"net"
	"net/rpc"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/internal/rpcconn"
)

// listen serves each connection with the function and returns the address.
func listen(t testing.TB, serve func(net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a process that runs out of memory, because whoever listens at an address
// that was announced sends a reply without end.
func TestReplyWithoutEndIsCutOff(t *testing.T) {
	g := NewWithT(t)
	sent := make(chan int, 1)
	addr := listen(t, func(conn net.Conn) {
		enc := gob.NewEncoder(conn)
		enc.Encode(rpc.Response{ServiceMethod: "Echo.Say", Seq: 0})
		// The length of the next message, 512 MB, and its type: bytes.
		conn.Write([]byte{0xfc, 0x20, 0, 0, 0, 0x0a, 0, 0xfc, 0x1f, 0xff, 0xff, 0xf0})
		total, part := 0, make([]byte, 1<<20)
		for total < 512<<20 {
			n, err := conn.Write(part)
			total += n
			if err != nil {
				break
			}
		}
		sent <- total
	})
	var reply []byte
	err := rpcconn.Call(addr, "Echo.Say", "hello", &reply, rpcconn.Timeouts{Dial: time.Second, Idle: 5 * time.Second, Total: 30 * time.Second})
	g.Expect(err).To(MatchError(ContainSubstring("reply exceeds")))
	g.Eventually(sent, "10s").Should(Receive(BeNumerically("<", 64<<20)))
}

// FuzzReply lets arbitrary bytes answer a call: it must end, and must not panic.
func FuzzReply(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte("HTTP/1.1 400 Bad Request\r\n\r\n"))
	f.Add([]byte{0xf8, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		addr := listen(t, func(conn net.Conn) { conn.Write(data) })
		var reply []string
		if err := rpcconn.Call(addr, "Echo.Say", "hello", &reply, rpcconn.Timeouts{Dial: time.Second, Idle: 5 * time.Second, Total: 10 * time.Second}); err == nil && len(data) == 0 {
			t.Error("a call without a reply has succeeded")
		}
	})
}
