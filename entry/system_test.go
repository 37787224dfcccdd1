package entry_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/rpc"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/client"
	"github.com/chestnuthollow/chestnuthollow/entry"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

var _ = Describe("A system of entries and agents", func() {
	It("completes jobs of 1, 50 and 890 tasks through every entry", func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		s := newCluster(2, 3)
		s.publish(ctx)
		total := 0
		for i := range s.entries {
			for _, tasks := range []int{1, 50, 890} {
				answer, err := s.client(i).Submit(ctx, job(tasks))
				Expect(err).NotTo(HaveOccurred())
				Expect(answer.State).To(Equal(structs.JobComplete))
				Expect(answer.Results).To(HaveLen(tasks))
				total += tasks
			}
		}
		starts := 0
		for _, b := range s.backends {
			starts += len(b.Starts())
		}
		Expect(starts).To(Equal(total))
	})

	It("returns the answer of a job at an entry other than its home", func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		s := newCluster(2, 1)
		s.publish(ctx)
		ids, err := s.client(0).ReserveN(ctx, 1)
		Expect(err).NotTo(HaveOccurred())
		_, err = s.client(0).Submit(ctx, job(2), client.WithID(ids[0]))
		Expect(err).NotTo(HaveOccurred())
		answer, err := s.client(1).Get(ctx, ids[0], 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.State).To(Equal(structs.JobComplete))
	})

	It("accepts jobs again after all entries are replaced at once", func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		s := newCluster(1, 2)
		s.publish(ctx)
		addr := s.entries[0].HTTPAddr()
		s.stopEntry(0)
		s.startEntryWith("entry-9", func(o *entry.Options) { o.HTTPAddr = addr })
		Eventually(func() error {
			_, err := s.client(0).Submit(ctx, job(3))
			return err
		}, 30*time.Second, 50*time.Millisecond).Should(Succeed())
	})

	It("stops with ErrFenced when another entry has fenced it", func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		s := newCluster(1, 1)
		s.publish(ctx)
		status, err := s.client(0).Status(ctx)
		Expect(err).NotTo(HaveOccurred())
		agent := status.Agents[0].Info
		conn, err := rpc.Dial("tcp", agent.RPCAddr)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		home := status.Entry.Incarnation
		fence := structs.FenceRequest{Agent: agent.Incarnation, Job: structs.JobID{Home: home, Seq: 1}, Close: true}
		Expect(conn.Call("Agent.Fence", &fence, new(structs.SettleReply))).To(Succeed())
		_, err = s.client(0).Submit(ctx, job(1))
		Expect(err).To(HaveOccurred())
		Eventually(s.runErrors[0], 30*time.Second).Should(Receive(MatchError(entry.ErrFenced)))
		Expect(s.backends[0].Starts()).To(BeEmpty())
	})

	It("answers not_run for ids that a stopped entry never used, also at an entry started later", func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		s := newCluster(2, 1)
		s.publish(ctx)
		ids, err := s.client(0).ReserveN(ctx, 2)
		Expect(err).NotTo(HaveOccurred())
		s.stopEntry(0)
		s.startEntry("entry-9")
		Eventually(s.entries[1].Ready, 30*time.Second, 50*time.Millisecond).Should(Succeed())
		for i, id := range ids {
			code, refused := s.submitOnce(i, id, job(1))
			Expect(code).To(Equal(http.StatusGone))
			Expect(refused.Verdict).To(Equal(structs.NotRun))
		}
		Expect(s.backends[0].Starts()).To(BeEmpty())
	})
})

var _ = Describe("The metrics of an entry", func() {
	It("include the number of known agents", func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		s := newCluster(1, 2)
		s.publish(ctx)
		resp, err := http.Get("http://" + s.entries[0].HTTPAddr() + "/metrics")
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		var all map[string]map[string]float64
		Expect(json.NewDecoder(resp.Body).Decode(&all)).To(Succeed())
		Expect(all["agents_known"]["value"]).To(BeEquivalentTo(2))
	})
})
