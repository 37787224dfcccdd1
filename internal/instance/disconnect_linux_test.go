package instance_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/go-kit/log"

	"github.com/chestnuthollow/chestnuthollow/internal/instance"
)

// Guards against a client that counts as connected although it has left, because bytes stand behind its
// request: an empty line, or its next request.
func TestDisconnectedClientIsNoticedBehindBytesThatAreNotRead(t *testing.T) {
	leave := map[string]func(*net.TCPConn) error{
		"waits":  func(*net.TCPConn) error { return nil },
		"closes": (*net.TCPConn).Close,
		"resets": func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) },
	}
	for behind, bytes := range map[string]string{"empty line": "\r\n", "request": "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"} {
		for name, leave := range leave {
			t.Run(behind+" "+name, func(t *testing.T) {
				g := NewWithT(t)
				l, err := net.Listen("tcp", "127.0.0.1:0")
				g.Expect(err).NotTo(HaveOccurred())
				entered, left, result := make(chan bool), make(chan bool), make(chan bool, 1)
				s := instance.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if _, err := io.ReadAll(r.Body); err != nil {
						t.Error(err)
					}
					entered <- true
					<-left
					result <- instance.Disconnected(r.Context())
				}), log.NewNopLogger())
				defer s.Close()
				conn, err := net.Dial("tcp", l.Addr().String())
				g.Expect(err).NotTo(HaveOccurred())
				defer conn.Close()
				_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\nbody")
				g.Expect(err).NotTo(HaveOccurred())
				<-entered
				_, err = io.WriteString(conn, bytes)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(leave(conn.(*net.TCPConn))).To(Succeed())
				left <- true
				g.Expect(<-result).To(Equal(name != "waits"))
			})
		}
	}
}
