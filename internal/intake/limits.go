package intake

import (
	"fmt"

	"golang.org/x/sys/unix"
)

const (
	// SmallBody is the size in bytes up to which a body takes nothing of Limits.BodyBytes.
	SmallBody = 8 << 10
	// connBytes is the memory that a connection is taken to occupy at most: the header of its request, a small
	// body, socket and server buffers, the goroutine that serves it, and the buffers of one that waits to be accepted.
	connBytes = 192 << 10
	// baseBytes is the memory of a process without clients.
	baseBytes = 32 << 20
	// minUsableFraction is the part of an instance's memory that is left for clients if baseBytes leaves less.
	minUsableFraction = 4
	// bodyFraction is the part of the memory for clients that bodies share while they are read, again while
	// they are decoded, and the messages of peers.
	bodyFraction = 8
	// reservedDescriptors are not available for sockets.
	reservedDescriptors = 200
	// maxOtherConns bounds the connections of a listener that serves probes, operators or one backend server.
	maxOtherConns = 128
	// otherConnsFraction is the part of the descriptors for sockets that such a listener takes at most.
	otherConnsFraction = 16
	// peerConnsFraction is the part of the descriptors for sockets that connections of peers take at most.
	peerConnsFraction = 8
	minConns          = 16
)

// Resources are what an instance has for a process.
type Resources struct {
	MemoryBytes int64
	Descriptors int // open files and sockets
}

// Limits bound what clients occupy.
type Limits struct {
	// Conns bounds the connections of the listener for callers, OtherConns those of each other one, PeerConns
	// those of all peers together.
	Conns, OtherConns, PeerConns int

	BodyBytes    int64 // of all bodies that are read, beyond SmallBody each
	DecodeBytes  int64 // that decoding takes at the same time
	MessageBytes int64 // of all messages of peers that are read, beyond SmallBody each
}

// LimitsFor returns the limits of a process. A quarter of the descriptors for sockets is left for peers,
// the platform's store, operators and probes.
func LimitsFor(r Resources) Limits {
	usable := max(r.MemoryBytes-baseBytes, r.MemoryBytes/minUsableFraction)
	sockets := r.Descriptors - reservedDescriptors
	return Limits{
		Conns:       max(min(int(usable/connBytes), sockets-sockets/4), minConns),
		OtherConns:  max(min(maxOtherConns, sockets/otherConnsFraction), minConns),
		PeerConns:   max(sockets/peerConnsFraction, minConns),
		BodyBytes:   usable / bodyFraction,
		DecodeBytes: usable / bodyFraction,

		MessageBytes: usable / bodyFraction,
	}
}

// LargestBody returns the size in bytes of the largest body that can be read. While its buffer grows, the
// earlier one is still in use.
func (l Limits) LargestBody() int64 { return l.BodyBytes / 2 }

// LimitsOf returns the limits of a process on an instance with the given memory in MiB. If descriptors is
// zero, the operating system's limit for the process counts.
func LimitsOf(memoryMB, descriptors int) (Limits, error) {
	if descriptors == 0 {
		var err error
		if descriptors, err = processDescriptors(); err != nil {
			return Limits{}, fmt.Errorf("limit of open descriptors: %w", err)
		}
	}
	return LimitsFor(Resources{MemoryBytes: int64(memoryMB) << 20, Descriptors: descriptors}), nil
}

// processDescriptors returns the limit of open descriptors of this process.
func processDescriptors() (int, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, err
	}
	return int(min(limit.Cur, maxDescriptors)), nil
}

// maxDescriptors stands for a limit that is too large to matter.
const maxDescriptors = 1 << 20
