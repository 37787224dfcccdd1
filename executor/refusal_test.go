package executor_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/executor"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// refusal is a case in which task(5, 0) must not start.
type refusal struct {
	name    string
	options func(*executor.Options)
	prepare func(*harness)
	request func(*structs.RunRequest)
	code    structs.ErrorCode
	verdict structs.Verdict
}

func document(text string) func(*harness) {
	return func(h *harness) { h.document(1, text) }
}

var refusals = []refusal{{
	name:    "request for another incarnation",
	request: func(r *structs.RunRequest) { r.Agent = otherIncarnation },
	code:    structs.CodeStaleIncarnation, verdict: structs.NotRun,
}, {
	name:    "task index out of range",
	request: func(r *structs.RunRequest) { r.Task.Index = structs.MaxTasksPerJob },
	code:    structs.CodeInvalid, verdict: structs.NotRun,
}, {
	name:    "attempt number zero",
	request: func(r *structs.RunRequest) { r.Attempt = 0 },
	code:    structs.CodeInvalid, verdict: structs.NotRun,
}, {
	name:    "request for another service",
	request: func(r *structs.RunRequest) { r.Service = "booking" },
	code:    structs.CodeRejected, verdict: structs.NotRun,
}, {
	name:    "timeout already passed",
	request: func(r *structs.RunRequest) { r.Timeout = 0 },
	code:    structs.CodeTimeout, verdict: structs.NotRun,
}, {
	name:    "payload over the limit for all services",
	request: func(r *structs.RunRequest) { r.Spec.Payload = make([]byte, structs.MaxPayloadBytes+1) },
	code:    structs.CodeTooLarge, verdict: structs.NotRun,
}, {
	name:    "kind with a line break, which would inject a header",
	request: func(r *structs.RunRequest) { r.Spec.Kind = "a\r\nChestnuthollow-Team: x" },
	code:    structs.CodeInvalid, verdict: structs.NotRun,
}, {
	name:    "team name too long",
	request: func(r *structs.RunRequest) { r.Team = strings.Repeat("t", 1000) },
	code:    structs.CodeInvalid, verdict: structs.NotRun,
}, {
	name:    "kind not accepted",
	prepare: document("[accept]\nkinds = ['publish']"),
	code:    structs.CodeRejected, verdict: structs.NotRun,
}, {
	name:    "content type not accepted",
	prepare: document("[accept]\ncontent_types = ['application/json']"),
	code:    structs.CodeRejected, verdict: structs.NotRun,
}, {
	name:    "payload over the document's limit",
	prepare: document("[accept]\nmax_payload_bytes = 4"),
	code:    structs.CodeRejected, verdict: structs.NotRun,
}, {
	name:    "declared time over the document's limit",
	prepare: document("[accept]\nmax_declared = '1s'"),
	request: func(r *structs.RunRequest) { r.Spec.Declared = 2 * time.Second },
	code:    structs.CodeRejected, verdict: structs.NotRun,
}, {
	name:    "sender has an older document revision",
	prepare: func(h *harness) { h.document(1, ""); h.document(2, "[accept]\nkinds = ['publish']") },
	request: func(r *structs.RunRequest) { r.Revision = 1 },
	code:    structs.CodeRejected, verdict: structs.NotRun,
}, {
	name:    "document lists the backend server as leaving",
	prepare: document("[leave]\nbackend_servers = ['a1']"),
	code:    structs.CodeLeaving, verdict: structs.NotRun,
}, {
	name:    "leave date of the document has passed",
	prepare: document("[leave]\nat = 2026-03-12T09:00:00Z"),
	code:    structs.CodeLeaving, verdict: structs.NotRun,
}, {
	name:    "agent stops gracefully",
	prepare: func(h *harness) { h.step(executor.LeaveRequested{}) },
	code:    structs.CodeLeaving, verdict: structs.NotRun,
}, {
	name: "slots and queue full",
	prepare: func(h *harness) {
		h.run(request(task(5, 1), 1))
		h.run(request(task(5, 2), 1))
	},
	code: structs.CodeOverloaded, verdict: structs.NotRun,
}, {
	name:    "limit of task records reached",
	options: func(o *executor.Options) { o.MaxRecords = 1 },
	prepare: func(h *harness) { h.run(request(task(5, 1), 1)) },
	code:    structs.CodeOverloaded, verdict: structs.NotRun,
}, {
	name:    "payload memory limit reached",
	options: func(o *executor.Options) { o.MaxPayloadBytes = 40 },
	prepare: func(h *harness) { h.run(request(task(5, 1), 1)) },
	code:    structs.CodeOverloaded, verdict: structs.NotRun,
}, {
	name:    "limit of jobs reached",
	options: func(o *executor.Options) { o.MaxJobs = 1 },
	prepare: func(h *harness) { h.run(request(task(6, 1), 1)) },
	code:    structs.CodeOverloaded, verdict: structs.NotRun,
}, {
	name:    "limit of homes reached",
	options: func(o *executor.Options) { o.MaxHomes = 1 },
	prepare: func(h *harness) { h.fence(structs.JobID{Home: 99, Seq: 1}) },
	code:    structs.CodeUnavailable, verdict: structs.NotRun,
}, {
	name:    "fenced by Settle",
	prepare: func(h *harness) { h.settle(structs.SettleQuery, ref(task(5, 0), 1)) },
	code:    structs.CodeFenced, verdict: structs.NotRun,
}, {
	name:    "fenced by Await",
	prepare: func(h *harness) { h.await(task(5, 0), 1) },
	code:    structs.CodeFenced, verdict: structs.NotRun,
}, {
	name:    "home fenced",
	prepare: func(h *harness) { h.fence(structs.JobID{Home: home, Seq: 1}) },
	code:    structs.CodeHomeFenced, verdict: structs.NotRun,
}, {
	name:    "job settled and no record dropped",
	request: func(r *structs.RunRequest) { r.Watermark = 6 },
	code:    structs.CodeExpired, verdict: structs.NotRun,
}, {
	name:    "attempt before the admitted one",
	prepare: func(h *harness) { h.run(request(task(5, 0), 2)) },
	code:    structs.CodeFenced, verdict: structs.NotRun,
}}

// TestRefusals checks the code and verdict of each refusal, and that the attempt
// stays refused after capacity has become free.
func TestRefusals(t *testing.T) {
	for _, r := range refusals {
		t.Run(r.name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(r.options)
			if r.prepare != nil {
				r.prepare(h)
			}
			before := len(h.started)
			req := request(task(5, 0), 1)
			if r.request != nil {
				r.request(&req)
			}
			res := h.result(h.run(req))
			g.Expect(res).NotTo(BeNil())
			g.Expect(res.Error.Code).To(Equal(r.code))
			g.Expect(res.Verdict).To(Equal(r.verdict))
			g.Expect(h.started).To(HaveLen(before))

			h.document(100, "[limits]\nslots = 1000")
			h.run(req)
			g.Expect(h.started).NotTo(ContainElement(ref(req.Task, req.Attempt)))
		})
	}
}

func TestLaterAttemptOfRefusedTaskIsAccepted(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(nil)
	h.settle(structs.SettleQuery, ref(task(1, 0), 1))
	g.Expect(h.result(h.run(request(task(1, 0), 1))).Error.Code).To(Equal(structs.CodeFenced))
	h.run(request(task(1, 0), 2))
	g.Expect(h.started).To(Equal([]structs.TaskRef{ref(task(1, 0), 2)}))
}

// A task whose record was dropped may have run, so no answer may report it as
// NotRun.
func TestTaskWithDroppedRecordMayHaveRun(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(nil)
	h.run(request(task(5, 0), 1))
	h.done(task(5, 0), structs.Ran, "r")
	h.heartbeat(6)
	g.Expect(h.exec.Dump().Records).To(BeZero())

	res := h.result(h.run(request(task(5, 0), 1)))
	g.Expect(res.Error.Code).To(Equal(structs.CodeExpired))
	g.Expect(res.Verdict).To(Equal(structs.MayHaveRun))
	g.Expect(h.result(h.await(task(5, 0), 1)).Verdict).To(Equal(structs.MayHaveRun))
	st := h.settle(structs.SettleQuery, ref(task(5, 0), 1)).Statuses
	g.Expect(st[0].Phase).To(Equal(structs.TaskDone))
	g.Expect(st[0].Result.Verdict).To(Equal(structs.MayHaveRun))
	g.Expect(h.fence(task(5, 0).Job).Forgotten).To(BeTrue())
	g.Expect(h.started).To(HaveLen(1))
}

func TestQueuedTaskTimesOutAsNotRun(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(nil)
	h.run(request(task(1, 0), 1))
	queued := h.run(request(task(1, 1), 1))
	h.advance(10 * time.Second)
	g.Expect(h.result(queued).Error.Code).To(Equal(structs.CodeTimeout))
	g.Expect(h.result(queued).Verdict).To(Equal(structs.NotRun))
	h.done(task(1, 0), structs.Ran, "r")
	h.run(request(task(1, 1), 1))
	g.Expect(h.started).To(HaveLen(1))
}

func TestTaskOfCompactedIdleHomeMayHaveRun(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(nil)
	h.run(request(task(5, 0), 1))
	h.advance(time.Hour)
	g.Expect(h.exec.Dump().Records).To(Equal(1), "the record of a running task is kept")
	h.done(task(5, 0), structs.Ran, "r")
	h.advance(time.Hour)
	g.Expect(h.exec.Dump().Records).To(BeZero())
	g.Expect(h.exec.Dump().Jobs).To(BeZero())
	g.Expect(h.result(h.run(request(task(5, 0), 1))).Verdict).To(Equal(structs.MayHaveRun))
	h.run(request(task(6, 0), 1))
	g.Expect(h.started).To(HaveLen(2), "later jobs of the home are still admitted")
}
