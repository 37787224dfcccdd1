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

func startWeb(t *testing.T, change func(*http.Server)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	web := newWebServer(http.NotFoundHandler())
	if change != nil {
		change(web)
	}
	go web.Serve(l)
	t.Cleanup(func() { web.Close() })
	return l.Addr().String()
}

// A request whose header never ends is cut by the header's timeout.
func TestSlowRequestIsCut(t *testing.T) {
	g := NewWithT(t)
	g.Expect(newWebServer(nil).ReadHeaderTimeout).To(BeNumerically(">", 0))
	g.Expect(newWebServer(nil).ReadTimeout).To(BeNumerically(">", 0))
	g.Expect(newWebServer(nil).WriteTimeout).To(BeNumerically(">", 0))
	g.Expect(newWebServer(nil).IdleTimeout).To(BeNumerically(">", 0))
	addr := startWeb(t, func(s *http.Server) { s.ReadHeaderTimeout = 20 * time.Millisecond })
	conn, err := net.Dial("tcp", addr)
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	io.WriteString(conn, "GET / HTTP/1.1\r\nX: ")
	conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, err = io.Copy(io.Discard, conn)
	g.Expect(err).NotTo(HaveOccurred(), "the server closes it")
}

func TestOversizedHeaderIsRefused(t *testing.T) {
	g := NewWithT(t)
	req, err := http.NewRequest(http.MethodGet, "http://"+startWeb(t, nil), nil)
	g.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("X", strings.Repeat("x", 64<<10))
	resp, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
}
