package boundhttp

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a call that is sent after it was given up: the transport makes a call again over
// another connection if the first one breaks before any of it was sent.
func TestCallGivenUpIsNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const timeout = 60 * time.Millisecond
		dialed := make(chan net.Conn, 2) // the server's side of each connection
		client := &http.Client{Transport: NewTransport(func(context.Context, string, string) (net.Conn, error) {
			conn, peer := net.Pipe()
			dialed <- peer
			return conn, nil
		}, 4)}
		call := func() error {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			req, err := http.NewRequest(http.MethodPost, "http://server/", strings.NewReader("{}"))
			g.Expect(err).NotTo(HaveOccurred())
			_, _, err = Do(ctx, client, req, 1<<10)
			return err
		}

		answered := make(chan error)
		go func() { answered <- call() }()
		first := <-dialed
		req, err := http.ReadRequest(bufio.NewReader(first))
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, req.Body)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(first, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(<-answered).To(Succeed())

		g.Expect(call()).To(MatchError(context.DeadlineExceeded), "the server reads no further call")
		g.Expect(first.Close()).To(Succeed())
		defer time.Sleep(lateReplyTimeout)
		synctest.Wait()
		select {
		case second := <-dialed:
			n, err := second.Read(make([]byte, 1))
			g.Expect(second.Close()).To(Succeed())
			g.Expect(n).To(BeZero(), "bytes of the call over another connection")
			g.Expect(errors.Is(err, io.EOF)).To(BeTrue(), "read: %v", err)
		default:
			t.Log("no other connection")
		}
	})
}
