//go:build !linux

package instance

import (
	"errors"

	"golang.org/x/sys/unix"
)

// isPeerClosed reports whether the other side of a connection has closed or reset it. It does not
// notice that behind bytes that were not read yet.
func isPeerClosed(fd int) bool {
	var b [1]byte
	n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n == 0 && err == nil || err != nil && !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR)
}
