// Package randid generates random numbers that identify one run of a process,
// such as its incarnation.
package randid

import (
	"crypto/rand"
	"encoding/binary"
)

// NonZero returns a cryptographically secure random number other than zero.
func NonZero() uint64 {
	var b [8]byte
	for {
		rand.Read(b[:]) // never returns an error, see crypto/rand
		if v := binary.BigEndian.Uint64(b[:]); v != 0 {
			return v
		}
	}
}
