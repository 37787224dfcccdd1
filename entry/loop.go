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

// loop owns the coordinator: it alone steps it and carries out its effects.
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
		case <-e.mail.wake:
			for _, ev := range e.mail.take() {
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

func (e *Entry) step(ev coordinator.Event) {
	for _, eff := range e.coord.Step(time.Now(), ev) {
		e.perform(eff)
	}
}

// perform carries out one effect. It never blocks.
func (e *Entry) perform(eff coordinator.Effect) {
	switch f := eff.(type) {
	case coordinator.ReplyIDs:
		e.calls.reply(f.Call, f)
	case coordinator.Reply:
		e.calls.reply(f.Call, f)
	case coordinator.Forward:
		e.calls.reply(f.Call, f)
	case coordinator.ConnectAgent:
		e.links[f.Info.Incarnation] = newAgentLink(f.Info, e.mail.post, e.countMessage)
	case coordinator.DropAgent:
		if l := e.links[f.Agent]; l != nil {
			l.close()
			delete(e.links, f.Agent)
		}
	case coordinator.Drained:
		e.closing = f.Report
		close(e.drained)
	case coordinator.LogEvent:
		e.logEvent(f)
	default:
		e.performOnLink(eff)
	}
}

// performOnLink sends a message to an agent.
func (e *Entry) performOnLink(eff coordinator.Effect) {
	switch f := eff.(type) {
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
			l.sendDocument("PutDocument", &f.Record, e.docs.learned)
		}
	case coordinator.FetchDocument:
		if l := e.links[f.Agent]; l != nil {
			l.sendDocument("GetDocument", f.Service, e.docs.learned)
		}
	}
}

// countMessage counts the messages sent to agents by method; each has one
// answer.
func (e *Entry) countMessage(method string) {
	metrics.GetOrRegisterCounter("messages.sent."+method, e.metrics).Inc(1)
}

// logEvent writes one line for an event of the coordinator, and counts it.
func (e *Entry) logEvent(f coordinator.LogEvent) {
	metrics.GetOrRegisterCounter("events."+f.Event, e.metrics).Inc(1)
	l := level.Info(e.log)
	switch f.Event {
	case "job_admitted", "task_placed", "task_ended":
		l = level.Debug(e.log)
	}
	kv := []any{"event", f.Event}
	if f.Job != (structs.JobID{}) {
		kv = append(kv, "job", f.Job)
	}
	if f.Task >= 0 {
		kv = append(kv, "task", f.Task)
	}
	if f.Agent != 0 {
		kv = append(kv, "agent", f.Agent)
	}
	if f.Verdict != nil {
		kv = append(kv, "verdict", f.Verdict)
	}
	if f.Detail != "" {
		kv = append(kv, "detail", f.Detail)
	}
	logLine(l, kv)
}

func logLine(l log.Logger, kv []any) {
	// A log line that cannot be written must not stop the process.
	_ = l.Log(kv...)
}
