package agent

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/executor"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

// step applies an event to the executor and carries out the resulting effects in
// order. Log lines are written after a.mu has been released. No effect blocks.
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

// carryOut carries out an effect. The caller holds a.mu.
func (a *Agent) carryOut(ef executor.Effect) {
	switch ef := ef.(type) {
	case executor.StartTask:
		a.startTask(ef)
	case executor.StopTask:
		if stop := a.cancels[ef.Task]; stop != nil {
			stop(errStopped)
		}
	case executor.Reply:
		a.deliver(ef)
	case executor.Announce:
		a.announcer.stateChanged()
	case executor.Drained:
		close(a.drained)
	case executor.LogEvent:
		a.metrics.count(&ef)
	}
}

// startTask sends a task to the backend server in a new goroutine. The caller holds
// a.mu.
func (a *Agent) startTask(ef executor.StartTask) {
	ctx, stop := context.WithCancelCause(context.Background())
	a.cancels[ef.Task] = stop
	a.metrics.started.Inc(1)
	go func() {
		done := a.backend.call(ctx, &ef)
		stop(nil)
		a.mu.Lock()
		delete(a.cancels, ef.Task)
		a.mu.Unlock()
		a.metrics.serviceTime.Update(done.ServiceTime.Microseconds())
		a.step(done)
	}()
}

// deliver passes the reply to a pending call. The caller holds a.mu.
func (a *Agent) deliver(ef executor.Reply) {
	if ch := a.calls[ef.Call]; ch != nil {
		delete(a.calls, ef.Call)
		ch <- ef.Message
	}
}

// call passes an RPC to the executor and waits for the reply, or until the connection
// is closed.
func (a *Agent) call(connCtx context.Context, event func(executor.CallID) executor.Event) (any, error) {
	ch := make(chan any, 1)
	a.mu.Lock()
	a.lastCall++
	id := a.lastCall
	a.calls[id] = ch
	a.mu.Unlock()
	a.step(event(id))
	select {
	case message := <-ch:
		return message, nil
	case <-connCtx.Done():
	}
	a.mu.Lock()
	delete(a.calls, id)
	a.mu.Unlock()
	a.step(executor.CallClosed{Call: id})
	return nil, connCtx.Err()
}

func (a *Agent) state() structs.AgentState {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.executor.State()
}

func (a *Agent) log(line *executor.LogEvent) {
	kv := []any{"event", line.Event, "agent", a.self.Incarnation}
	if line.Task != (structs.TaskID{}) {
		kv = append(kv, "job", line.Task.Job, "task", line.Task.Index)
	}
	if line.Verdict != nil {
		kv = append(kv, "verdict", line.Verdict)
	}
	if line.Detail != "" {
		kv = append(kv, "detail", line.Detail)
	}
	a.eventLogger(line).Log(kv...)
}

// eventLogger returns the logger for an event. Events of tasks are logged at level
// debug, except that a task with the verdict MayHaveRun is logged at level info.
func (a *Agent) eventLogger(line *executor.LogEvent) log.Logger {
	if line.Verdict != nil && *line.Verdict != structs.MayHaveRun {
		return level.Debug(a.logger)
	}
	return level.Info(a.logger)
}
