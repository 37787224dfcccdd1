package instance

import (
	"errors"

	"golang.org/x/sys/unix"
)

// isPeerClosed reports whether the other side of a connection has closed or reset it. Unlike a read,
// poll shows that behind bytes that were not read yet.
func isPeerClosed(fd int) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	for {
		n, err := unix.Poll(fds, 0)
		if !errors.Is(err, unix.EINTR) {
			return n > 0
		}
	}
}
