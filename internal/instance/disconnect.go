package instance

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// connKey is the key of the connection in the context of a request.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// Disconnected reports whether the client of a request is known to have closed or reset its
// connection, given the context of the request. What a client has sent before can still be read
// afterwards, and net/http cancels the context only some time after the whole request was read.
func Disconnected(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	conn, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true // closed by this process
	}
	closed := false
	// Control, unlike Read, does not wait for the read of net/http that is pending.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err != nil:
			closed = !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR)
		case n == 0:
			closed = true
		default:
			closed = isClosedBehindUnread(int(fd))
		}
	})
	return closed || err != nil
}
