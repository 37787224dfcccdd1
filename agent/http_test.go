package agent

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func startHTTPServer(t *testing.T, configure func(*http.Server)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	server := newHTTPServer(http.NotFoundHandler())
	if configure != nil {
		configure(server)
	}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	return l.Addr().String()
}

// A connection whose request header never ends is closed after ReadHeaderTimeout.
func TestSlowRequestIsClosed(t *testing.T) {
	g := NewWithT(t)
	g.Expect(newHTTPServer(nil).ReadHeaderTimeout).To(BeNumerically(">", 0))
	g.Expect(newHTTPServer(nil).ReadTimeout).To(BeNumerically(">", 0))
	g.Expect(newHTTPServer(nil).WriteTimeout).To(BeNumerically(">", 0))
	g.Expect(newHTTPServer(nil).IdleTimeout).To(BeNumerically(">", 0))
	addr := startHTTPServer(t, func(s *http.Server) { s.ReadHeaderTimeout = 20 * time.Millisecond })
	conn, err := net.Dial("tcp", addr)
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	io.WriteString(conn, "GET / HTTP/1.1\r\nX: ")
	conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, err = io.Copy(io.Discard, conn)
	g.Expect(err).NotTo(HaveOccurred(), "the server closes the connection")
}

func TestOversizedHeaderIsRejected(t *testing.T) {
	g := NewWithT(t)
	req, err := http.NewRequest(http.MethodGet, "http://"+startHTTPServer(t, nil), nil)
	g.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("X", strings.Repeat("x", 64<<10))
	resp, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
}
