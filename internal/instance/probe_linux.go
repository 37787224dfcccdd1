package instance

import (
	"time"

	"golang.org/x/sys/unix"
)

// sendWithoutBlocking sends one byte at once, or not at all.
func sendWithoutBlocking(fd uintptr, b string) error {
	_, err := unix.Write(int(fd), []byte(b))
	return err
}

// allAcknowledged reports whether the other side has acknowledged all that was sent.
func allAcknowledged(fd uintptr) bool {
	unacknowledged, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	return err == nil && unacknowledged == 0
}

func lastReceived(fd uintptr) time.Duration {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}
