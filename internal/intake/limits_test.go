package intake

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against limits that leave no room for the process itself or its other sockets, or that an ordinary
// client meets.
func TestLimitsFollowFromResources(t *testing.T) {
	const legalBody = 262144
	for _, memoryMB := range []int64{16, 64, 128, 144, 160, 184, 284, 536, 4096, 1 << 20} {
		for _, descriptors := range []int{256, 1024, 3075, 4100, 8192, 1 << 20} {
			t.Run(fmt.Sprintf("%d MiB, %d descriptors", memoryMB, descriptors), func(t *testing.T) {
				g := NewWithT(t)
				memory := memoryMB << 20
				l := LimitsFor(Resources{MemoryBytes: memory, Descriptors: descriptors})
				g.Expect(l.LargestBody()).To(BeNumerically(">=", legalBody))
				g.Expect(l.Conns).To(BeNumerically(">=", minConns))
				g.Expect(l.OtherConns).To(BeNumerically(">=", minConns))
				if memoryMB < 64 || descriptors < 1024 {
					return // for tests
				}
				// The kernel takes twice the buffer that is set. As many connections may wait to be accepted.
				received := 2 * int64(l.Conns) * 2 * socketBuffer
				const served = 16<<10 + 4<<10 + 8<<10 + 12<<10 // header, what is read beyond it, server buffers, stack
				atMost := received + int64(l.Conns)*(SmallBody+served) + l.BodyBytes + l.DecodeBytes + l.MessageBytes
				g.Expect(atMost).To(BeNumerically("<=", memory-baseBytes))
				g.Expect(l.Conns + 2*l.OtherConns).To(BeNumerically("<=", (descriptors-reservedDescriptors)*7/8))
			})
		}
	}
}
