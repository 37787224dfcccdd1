// Package random draws the numbers that tell one run of a process from another.
package random

import (
	"crypto/rand"
	"encoding/binary"
)

// NonZero returns a random number that is not zero.
func NonZero() uint64 {
	var b [8]byte
	for {
		rand.Read(b[:]) // never fails, see crypto/rand
		if v := binary.BigEndian.Uint64(b[:]); v != 0 {
			return v
		}
	}
}
