package instance

import (
	"errors"

	"golang.org/x/sys/unix"
)

// isClosedBehindUnread reports whether the other side of a connection has closed or reset it although
// bytes stand before that which were not read yet.
func isClosedBehindUnread(fd int) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	for {
		n, err := unix.Poll(fds, 0)
		if !errors.Is(err, unix.EINTR) {
			return n > 0
		}
	}
}
