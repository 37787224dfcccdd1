package entry

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/chestnuthollow/chestnuthollow/coordinator"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// loop owns the coordinator: no other goroutine steps it, inspects it or carries
// out its effects.
func (e *Entry) loop(ctx context.Context) {
	defer close(e.stopped)
	ticker := time.NewTicker(coordinator.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			e.closeLinks()
			return
		case <-ticker.C:
			e.step(coordinator.Ticked{})
		case <-e.events.wake:
			for _, ev := range e.events.takeAll() {
				e.step(ev)
			}
		case f := <-e.inspect:
			f(e.coord)
		}
	}
}

func (e *Entry) closeLinks() {
	for _, l := range e.links {
		l.close()
	}
}

// step applies an event to the coordinator and carries out the resulting effects in
// order. No effect blocks.
func (e *Entry) step(ev coordinator.Event) {
	for _, ef := range e.coord.Step(time.Now(), ev) {
		e.carryOut(ef)
	}
}

// carryOut carries out an effect. It must only be called by loop.
func (e *Entry) carryOut(ef coordinator.Effect) {
	switch f := ef.(type) {
	case coordinator.ReplyIDs:
		e.calls.deliver(f.Call, f)
	case coordinator.Reply:
		e.calls.deliver(f.Call, f)
	case coordinator.Forward:
		e.calls.deliver(f.Call, f)
	case coordinator.ConnectAgent:
		e.links[f.Info.Incarnation] = newAgentLink(f.Info, e.events.post, e.countMessage)
	case coordinator.DropAgent:
		if l := e.links[f.Agent]; l != nil {
			l.close()
			delete(e.links, f.Agent)
		}
	case coordinator.Drained:
		e.closedReport = f.Report
		close(e.drained)
	case coordinator.LogEvent:
		e.log(f)
	default:
		e.sendToAgent(ef)
	}
}

// sendToAgent carries out an effect that sends a message to an agent. It does
// nothing if there is no link to the agent.
func (e *Entry) sendToAgent(ef coordinator.Effect) {
	switch f := ef.(type) {
	case coordinator.Run:
		if l := e.links[f.Agent]; l != nil {
			l.sendRun(&f.Request)
		}
	case coordinator.Await:
		if l := e.links[f.Agent]; l != nil {
			l.sendAwait(f.Ref)
		}
	case coordinator.Settle:
		if l := e.links[f.Agent]; l != nil {
			l.sendSettle(&f.Request)
		}
	case coordinator.Query:
		if l := e.links[f.Agent]; l != nil {
			l.sendQuery(f)
		}
	case coordinator.QueryAwait:
		if l := e.links[f.Agent]; l != nil {
			l.sendQueryAwait(f)
		}
	case coordinator.Heartbeat:
		if l := e.links[f.Agent]; l != nil {
			l.sendHeartbeat(&structs.HeartbeatRequest{
				Agent:     f.Agent,
				Entry:     e.self,
				Watermark: f.Watermark,
				Revision:  f.Revision,
			})
		}
	case coordinator.PushDocument:
		if l := e.links[f.Agent]; l != nil {
			l.sendDocument("PutDocument", &f.Record, e.docs.offerRevision)
		}
	case coordinator.FetchDocument:
		if l := e.links[f.Agent]; l != nil {
			l.sendDocument("GetDocument", f.Service, e.docs.offerRevision)
		}
	}
}

// countMessage counts a message sent to an agent, by method. Replies are not
// counted separately: there is at most one per message.
func (e *Entry) countMessage(method string) {
	metrics.GetOrRegisterCounter("messages.sent."+method, e.metrics).Inc(1)
}

// log logs an event of the coordinator and counts it.
func (e *Entry) log(line coordinator.LogEvent) {
	metrics.GetOrRegisterCounter("events."+line.Event, e.metrics).Inc(1)
	l := level.Info(e.logger)
	switch line.Event {
	case "job_admitted", "task_placed", "task_ended":
		l = level.Debug(e.logger)
	}
	kv := []any{"event", line.Event}
	if line.Job != (structs.JobID{}) {
		kv = append(kv, "job", line.Job)
	}
	if line.Task >= 0 {
		kv = append(kv, "task", line.Task)
	}
	if line.Agent != 0 {
		kv = append(kv, "agent", line.Agent)
	}
	if line.Verdict != nil {
		kv = append(kv, "verdict", line.Verdict)
	}
	if line.Detail != "" {
		kv = append(kv, "detail", line.Detail)
	}
	logLine(l, kv)
}

func logLine(l log.Logger, kv []any) {
	// The error is ignored, because a failure to log must not affect the process.
	_ = l.Log(kv...)
}
