package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/dispatch"
	"github.com/chestnuthollow/chestnuthollow/internal/boottime"
	"github.com/chestnuthollow/chestnuthollow/routing"
	"github.com/chestnuthollow/chestnuthollow/session"
)

// peerWithJobs is another entry whose tasks of each job take some questions to end.
type peerWithJobs struct {
	oldPeer
	endsAfter int
	states    int // in each reply; one for each job if zero
}

func (p *peerWithJobs) OpenJobs(req *session.OpenJobsRequest, reply *session.OpenJobsReply) error {
	state := session.JobUnknown
	if p.endsAfter > 0 {
		state = session.JobEnding
		p.endsAfter--
	}
	for range max(p.states, len(req.Jobs)) {
		reply.States = append(reply.States, state)
	}
	return nil
}

var oneJob = []session.OpenJob{{Job: "job", AgeMs: 5}}

// Guards against a submission that is started while tasks of an earlier one still run at another entry.
func TestEndOfJobElsewhereIsAwaited(t *testing.T) {
	g := NewWithT(t)
	p := &peerWithJobs{endsAfter: 3}
	addr, _ := servePeer(t, p)
	gw := gatewayWithPeers(t)
	g.Expect(gw.compareJobs(session.Process{Name: "entry-2", Addr: addr}, oneJob, true)).To(BeEmpty())
	g.Expect(p.endsAfter).To(BeZero())
	p.endsAfter = 1000
	started := time.Now()
	gw.compareJobs(session.Process{Name: "entry-2", Addr: addr}, oneJob, true)
	g.Expect(p.endsAfter).To(BeNumerically(">", 0), "given up")
	g.Expect(time.Since(started)).To(BeNumerically(">=", dispatch.PeerJobsTimeout-openJobsTimeout))
}

// Guards against an entry that cannot be asked because it is of a build that lacks the method, and against cancels
// that it does not get any more because of that.
func TestEntryOfEarlierBuildIsAskedInVain(t *testing.T) {
	g := NewWithT(t)
	p := &peer{got: make(chan session.CancelRequest, 10)}
	addr, _ := servePeer(t, p)
	gw := gatewayWithPeers(t)
	_, err := gw.askPeer(addr, oneJob)
	g.Expect(err).To(MatchError(ContainSubstring("can't find method")))
	g.Expect(gw.tell(addr, "a")).To(Equal(tellResult{known: true}))
}

// Guards against a reply that is taken for one about other jobs.
func TestReplyOnOtherNumberOfJobsIsAnError(t *testing.T) {
	g := NewWithT(t)
	addr, _ := servePeer(t, &peerWithJobs{states: 2})
	_, err := gatewayWithPeers(t).askPeer(addr, oneJob)
	g.Expect(err).To(MatchError("reply has 2 states for 1 jobs"))
}

// Guards against a job that goes on although another entry has a newer submission of it, and against requests
// without bound.
func TestOlderSubmissionIsClosedOnRequest(t *testing.T) {
	g := NewWithT(t)
	gw := newIdleGateway(new(strings.Builder))
	gw.logger = log.NewNopLogger()
	gw.dispatcher = dispatch.New(dispatch.Options{Started: boottime.Now().Add(time.Hour)})
	outcome := make(chan Outcome, 1)
	go func() {
		outcome <- gw.Submit(t.Context(), dispatch.Job{
			Name: "job", Queue: routing.Queue{Name: "q", Service: "s", Stretch: 2}, Tasks: 1, CPU: 100, Estimate: time.Hour,
		}, nil)
	}()
	g.Eventually(gw.openJobs).Should(Equal(1))
	time.Sleep(dispatch.ResubmissionDelay)
	r := &receiver{gateway: gw}
	var reply session.OpenJobsReply
	g.Expect(r.OpenJobs(&session.OpenJobsRequest{Entry: "entry-2", Jobs: oneJob}, &reply)).To(Succeed())
	g.Expect(reply.States).To(Equal([]session.JobState{session.JobUnknown}), "it has no tasks that run")
	g.Expect(gw.openJobs()).To(BeZero())
	g.Expect((<-outcome).Refused).To(HaveField("Message", ContainSubstring("entry entry-2 has a newer submission")))
	g.Expect(r.OpenJobs(&session.OpenJobsRequest{Jobs: make([]session.OpenJob, dispatch.MaxAnnouncedJobs+1)}, &reply)).To(
		MatchError("513 jobs in one request, at most 512 expected"))
}
