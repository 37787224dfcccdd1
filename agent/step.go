package agent

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/executor"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// step feeds the executor one event and carries its effects out, in order. No
// effect blocks.
func (a *Agent) step(ev executor.Event) {
	a.mu.Lock()
	effects := a.executor.Step(time.Now(), ev)
	for _, ef := range effects {
		a.carryOut(ef)
	}
	a.mu.Unlock()
	for _, ef := range effects {
		if line, ok := ef.(executor.LogEvent); ok {
			a.log(&line)
		}
	}
}

// carryOut is called with a.mu held.
func (a *Agent) carryOut(ef executor.Effect) {
	switch ef := ef.(type) {
	case executor.StartTask:
		a.start(ef)
	case executor.StopTask:
		if stop := a.stops[ef.Task]; stop != nil {
			stop(errStopped)
		}
	case executor.Reply:
		a.deliver(ef)
	case executor.Announce:
		a.entries.stateChanged()
	case executor.Drained:
		close(a.drained)
	case executor.LogEvent:
		a.metrics.count(&ef)
	}
}

// start is called with a.mu held.
func (a *Agent) start(ef executor.StartTask) {
	ctx, stop := context.WithCancelCause(context.Background())
	a.stops[ef.Task] = stop
	a.metrics.started.Inc(1)
	go func() {
		done := a.backend.call(ctx, &ef)
		stop(nil)
		a.mu.Lock()
		delete(a.stops, ef.Task)
		a.mu.Unlock()
		a.metrics.serviceTime.Update(done.ServiceTime.Microseconds())
		a.step(done)
	}()
}

// deliver is called with a.mu held.
func (a *Agent) deliver(ef executor.Reply) {
	if ch := a.calls[ef.Call]; ch != nil {
		delete(a.calls, ef.Call)
		ch <- ef.Message
	}
}

// call feeds the executor an RPC and waits for its reply, or for the peer to go.
func (a *Agent) call(peer context.Context, event func(executor.CallID) executor.Event) (any, error) {
	ch := make(chan any, 1)
	a.mu.Lock()
	a.nextCall++
	id := a.nextCall
	a.calls[id] = ch
	a.mu.Unlock()
	a.step(event(id))
	select {
	case message := <-ch:
		return message, nil
	case <-peer.Done():
	}
	a.mu.Lock()
	delete(a.calls, id)
	a.mu.Unlock()
	a.step(executor.CallClosed{Call: id})
	return nil, peer.Err()
}

// state returns the agent's present state.
func (a *Agent) state() structs.AgentState {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.executor.State()
}

func (a *Agent) log(line *executor.LogEvent) {
	kv := []any{"event", line.Event, "agent", a.info.Incarnation}
	if line.Task != (structs.TaskID{}) {
		kv = append(kv, "job", line.Task.Job, "task", line.Task.Index)
	}
	if line.Verdict != nil {
		kv = append(kv, "verdict", line.Verdict)
	}
	if line.Detail != "" {
		kv = append(kv, "detail", line.Detail)
	}
	a.leveled(line).Log(kv...)
}

// leveled returns the logger for an event: tasks are debug, unless it is not
// known whether one has run.
func (a *Agent) leveled(line *executor.LogEvent) log.Logger {
	if line.Verdict != nil && *line.Verdict != structs.MayHaveRun {
		return level.Debug(a.logger)
	}
	return level.Info(a.logger)
}
