package instance_test

import (
	"net"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/chestnuthollow/chestnuthollow/internal/instance"
)

// An address that is taken leaves none of the others bound.
func TestListenBindsAllOrNone(t *testing.T) {
	g := NewWithT(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer taken.Close()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	addr := free.Addr().String()
	free.Close()

	_, err = instance.Listen(addr, taken.Addr().String())
	g.Expect(err).To(HaveOccurred())
	again, err := instance.Listen(addr)
	g.Expect(err).NotTo(HaveOccurred())
	again.Close()
}

func TestHistogramIsMadeOnce(t *testing.T) {
	g := NewWithT(t)
	r := metrics.NewRegistry()
	instance.Histogram("time", r).Update(7)
	g.Expect(instance.Histogram("time", r).Max()).To(Equal(int64(7)))
}
