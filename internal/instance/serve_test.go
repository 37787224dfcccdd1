package instance_test

import (
	"net"
	"testing"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/chestnuthollow/chestnuthollow/internal/instance"
)

// If one address is in use, none of the others may stay bound.
func TestListenBindsAllOrNone(t *testing.T) {
	g := NewWithT(t)
	inUse, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer inUse.Close()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	addr := free.Addr().String()
	free.Close()

	_, err = instance.Listen(log.NewNopLogger(), instance.Binding{Addr: addr, Conns: 1}, instance.Binding{Addr: inUse.Addr().String()})
	g.Expect(err).To(HaveOccurred())
	again, err := instance.Listen(log.NewNopLogger(), instance.Binding{Addr: addr})
	g.Expect(err).NotTo(HaveOccurred())
	again.Close()
}

func TestHistogramIsCreatedOnce(t *testing.T) {
	g := NewWithT(t)
	r := metrics.NewRegistry()
	instance.Histogram("time", r).Update(7)
	g.Expect(instance.Histogram("time", r).Max()).To(Equal(int64(7)))
}
