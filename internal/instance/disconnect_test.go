package instance_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/go-kit/log"

	"github.com/chestnuthollow/chestnuthollow/internal/instance"
)

// Guards against tasks that run twice: what a client has sent before it reset or closed its
// connection can still be read, and its request is taken for that of a client that waits.
func TestDisconnectedClientIsNoticedBeforeItsRequestIsServed(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn) error{
		"waits":  func(*net.TCPConn) error { return nil },
		"closes": func(c *net.TCPConn) error { return c.Close() },
		"resets": func(c *net.TCPConn) error {
			if err := c.SetLinger(0); err != nil {
				return err
			}
			return c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			entered, left, result := make(chan bool), make(chan bool), make(chan bool, 1)
			s := instance.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				entered <- true
				<-left
				if _, err := io.ReadAll(r.Body); err != nil {
					t.Error(err)
				}
				result <- instance.Disconnected(r.Context())
			}), log.NewNopLogger())
			defer s.Close()
			conn, err := net.Dial("tcp", l.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\nbody")
			g.Expect(err).NotTo(HaveOccurred())
			<-entered
			g.Expect(leave(conn.(*net.TCPConn))).To(Succeed())
			left <- true
			g.Expect(<-result).To(Equal(name != "waits"))
		})
	}
}
