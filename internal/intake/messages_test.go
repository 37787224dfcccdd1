package intake_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/go-kit/log"

	"github.com/chestnuthollow/chestnuthollow/internal/intake"
)

// pipe returns both sides of a connection.
func pipe(t *testing.T) (client, server net.Conn) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	client, err = net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	server, err = l.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return client, server
}

// message returns a gob message of n bytes, without its last ones.
func message(n, without int) []byte {
	prefix := []byte{byte(n)}
	if n > 0x7f {
		prefix = []byte{0xfd, byte(n >> 16), byte(n >> 8), byte(n)}
	}
	return append(prefix, make([]byte, n-without)...)
}

// Guards against peers whose messages never end and that take all memory, and against a peer whose
// connection is closed because of them.
func TestSlowMessagesMakeWay(t *testing.T) {
	const size = 100_000
	g := NewWithT(t)
	m := intake.NewMessages(size*3/2, log.NewNopLogger())
	held := func() int64 { bytes, _ := m.Held(); return bytes }
	read := func(conn net.Conn, size int) chan error {
		done := make(chan error, 1)
		r := m.Reader(t.Context(), conn)
		go func() {
			_, err := io.CopyN(io.Discard, r, int64(len(message(size, 0))))
			r.Close()
			done <- err
		}()
		return done
	}
	slowClient, slowConn := pipe(t)
	slow := read(slowConn, size)
	_, err := slowClient.Write(message(size, size-1))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(held, patience).Should(BeEquivalentTo(size), "what the message declares")

	smallClient, smallConn := pipe(t)
	small := read(smallConn, intake.SmallBody)
	_, err = smallClient.Write(message(intake.SmallBody, 0))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(small, patience).Should(Receive(BeNil()))

	client, conn := pipe(t)
	whole := read(conn, size)
	_, err = client.Write(message(size, 0))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(whole, patience).Should(Receive(BeNil()))
	g.Eventually(slow, patience).Should(Receive(HaveOccurred()))
	g.Eventually(held, patience).Should(BeZero())
}

// Guards against a message that waits for memory after its connection was closed.
func TestClosedConnectionsWaitForNoMemory(t *testing.T) {
	g := NewWithT(t)
	m := intake.NewMessages(2*intake.SmallBody, log.NewNopLogger())
	first, firstConn := pipe(t)
	holder := m.Reader(t.Context(), firstConn)
	_, err := first.Write(message(2*intake.SmallBody, 1))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = holder.Read(make([]byte, 10))
	g.Expect(err).NotTo(HaveOccurred())

	client, conn := pipe(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = client.Write(message(2*intake.SmallBody, 1))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = m.Reader(ctx, conn).Read(make([]byte, 10))
	var shortage *intake.ShortageError
	g.Expect(errors.As(err, &shortage)).To(BeTrue())
	g.Expect(shortage.Held).To(BeEquivalentTo(2 * intake.SmallBody))
}

// Guards against lengths that are read at the wrong place when messages follow each other or arrive byte by
// byte, and against memory that stays counted.
func TestMessagesFollowEachOther(t *testing.T) {
	for name, part := range map[string]int{"as they come": 64 << 10, "byte by byte": 1} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m := intake.NewMessages(1<<20, log.NewNopLogger())
			client, conn := pipe(t)
			sizes := []int{0, 1, 0x7f, 0x80, intake.SmallBody, intake.SmallBody + 1, 200_000, 10, 20_000}
			go func() {
				for _, n := range sizes {
					client.Write(message(n, 0))
				}
			}()
			r := m.Reader(t.Context(), conn)
			for _, n := range sizes {
				r.Next()
				for left := len(message(n, 0)); left > 0; {
					read, err := r.Read(make([]byte, min(part, left)))
					if err != nil {
						t.Fatal(err)
					}
					left -= read
				}
				held, _ := m.Held()
				if n <= intake.SmallBody {
					n = 0
				}
				g.Expect(held).To(BeEquivalentTo(n), "message of %d bytes", n)
			}
			r.Next()
			held, refused := m.Held()
			g.Expect(held).To(BeZero())
			g.Expect(refused).To(BeZero())
		})
	}
}

// Guards against a length that no message has.
func TestOddLengthsAreRejected(t *testing.T) {
	g := NewWithT(t)
	client, conn := pipe(t)
	_, err := client.Write([]byte{0x80})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = intake.NewMessages(1<<20, log.NewNopLogger()).Reader(t.Context(), conn).Read(make([]byte, 10))
	g.Expect(err).To(MatchError(ContainSubstring("expected a length of at most 8 bytes, got 128")))
}
