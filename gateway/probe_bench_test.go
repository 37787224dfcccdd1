package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/internal/boottime"
	"github.com/chestnuthollow/chestnuthollow/internal/instance"
	"github.com/chestnuthollow/chestnuthollow/routing"
)

// BenchmarkProbeCallers probes the callers of 1,000 open jobs once, and looks for their
// acknowledgements.
func BenchmarkProbeCallers(b *testing.B) {
	const jobs = 1000
	g := NewWithT(b)
	gw := newIdleGateway(new(strings.Builder))
	gw.logger = log.NewNopLogger()
	gw.dispatcher = dispatch.New(dispatch.Options{Started: boottime.Now().Add(time.Hour)})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	s := instance.Serve(l, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		gw.Submit(r.Context(), dispatch.Job{
			Name: r.URL.Path, Queue: routing.Queue{Name: "q", Service: "s", Stretch: 2}, Tasks: 1, CPU: 100, Estimate: time.Hour,
		}, nil)
	}), log.NewNopLogger())
	defer s.Close()
	for i := range jobs {
		conn, err := net.Dial("tcp", l.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST /job-%d HTTP/1.1\r\nHost: a.example\r\n\r\n", i)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Eventually(gw.openJobs).Should(Equal(jobs))
	var calls []dispatch.CallID
	for call := range gw.calls {
		calls = append(calls, call)
	}
	for b.Loop() {
		for _, call := range calls {
			if err := gw.calls[call].probe.Send(); err != nil {
				b.Fatal(err)
			}
		}
		if acked, waiting := gw.lookForAcks(calls); len(acked.Calls)+len(waiting) != jobs {
			b.Fatalf("%d of %d callers", len(acked.Calls)+len(waiting), jobs)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/jobs, "ns/caller")
}
