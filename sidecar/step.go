package sidecar

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/internal/boottime"
	"github.com/chestnuthollow/chestnuthollow/internal/logging"
	"github.com/chestnuthollow/chestnuthollow/internal/rpcserver"
	"github.com/chestnuthollow/chestnuthollow/taskrunner"
)

// renewalTimeoutMargin is added to the wait that a lease renewal asks for, and the
// sum is its timeout.
const renewalTimeoutMargin = 250 * time.Millisecond

// maxOpenStops bounds the stops that are sent to the backend server and whose replies are not handled. The
// runner sends a stop again that has no reply, so that further ones need not wait here. Without a bound,
// thousands of tasks that end with a session are stopped faster than the replies are handled.
const maxOpenStops = 256

// step applies an event to the runner and carries out the resulting effects in order.
// Log lines are written after s.mu has been released, with the time of the event. No effect
// blocks. The runner's clock counts the time in which the machine is suspended: entries and
// the backend server do not wait for the agent meanwhile.
func (s *Sidecar) step(ev taskrunner.Event) {
	s.mu.Lock()
	at, now := time.Now(), boottime.Now()
	effects := s.runner.Step(now, ev)
	for _, ef := range effects {
		s.carryOut(ef)
	}
	s.wakeTimer.Reset(max(s.runner.NextWake().Sub(now), time.Millisecond))
	s.mu.Unlock()
	for _, ef := range effects {
		if line, ok := ef.(taskrunner.LogEvent); ok {
			s.log(at, &line)
		}
	}
}

// carryOut carries out an effect. The caller holds s.mu.
func (s *Sidecar) carryOut(ef taskrunner.Effect) {
	switch ef := ef.(type) {
	case taskrunner.StartTask:
		s.metrics.starts.Inc(1)
		go s.callServer(s.rto.timeout(), func(ctx context.Context) taskrunner.Event { return s.platform.Server.Start(ctx, ef) })
	case taskrunner.StopTask:
		if s.openStops.Load() >= maxOpenStops {
			s.metrics.stopsDeferred.Inc(1)
			return
		}
		s.metrics.stops.Inc(1)
		s.openStops.Add(1)
		go func() {
			defer s.openStops.Add(-1)
			s.callServer(maxRTO, func(ctx context.Context) taskrunner.Event { return s.platform.Server.Stop(ctx, ef) })
		}()
	case taskrunner.RenewLease:
		go s.callServer(ef.Wait+renewalTimeoutMargin, func(ctx context.Context) taskrunner.Event { return s.platform.Server.RenewLease(ctx, ef) })
	case taskrunner.ReplyHello:
		s.deliver(ef.Call, &ef.Reply)
	case taskrunner.ReplyOrder:
		s.deliver(ef.Call, &ef.Reply)
	case taskrunner.ReplyPoll:
		s.deliver(ef.Call, &ef.Reply)
	case taskrunner.ReplyError:
		s.deliver(ef.Call, callError(ef.Reason))
	case taskrunner.CloseSession:
		if conn := s.conns[ef.Session]; conn != nil {
			delete(s.conns, ef.Session)
			rpcserver.CloseConn(conn)
		}
	case taskrunner.ServerChanged:
		select {
		case s.serverChanged <- struct{}{}:
		default: // announce has already been signaled
		}
	case taskrunner.WatchTopic:
		var ctx context.Context
		ctx, s.unwatch = context.WithCancel(s.background)
		go s.followTopic(ctx, ef.From)
	case taskrunner.UnwatchTopic:
		s.unwatch()
	case taskrunner.Drained:
		close(s.drained)
	}
}

// callServer makes a call to the backend server and applies the resulting event to
// the runner. Response times of starts adjust the retransmission timeout.
func (s *Sidecar) callServer(timeout time.Duration, call func(context.Context) taskrunner.Event) {
	ctx, cancel := context.WithTimeout(s.background, timeout)
	defer cancel()
	sentAt := time.Now()
	ev := call(ctx)
	if started, ok := ev.(taskrunner.StartReplied); ok {
		took := time.Since(sentAt)
		s.metrics.startTime.Update(took.Microseconds())
		if started.Result == taskrunner.StartUnknown {
			s.rto.recordNoReply()
		} else {
			s.rto.recordReply(took)
		}
	}
	if s.background.Err() == nil {
		s.step(ev)
	}
}

// callError is the error returned to an entry whose call was refused.
type callError string

// Error implements the error interface.
func (e callError) Error() string { return string(e) }

// deliver passes the reply to a pending call of an entry. The caller holds s.mu.
func (s *Sidecar) deliver(call taskrunner.CallID, message any) {
	if ch := s.calls[call]; ch != nil {
		delete(s.calls, call)
		ch <- message
	}
}

func (s *Sidecar) log(at time.Time, line *taskrunner.LogEvent) {
	kv := []any{"event", line.Event}
	if line.Task != "" {
		kv = append(kv, "task", line.Task)
	}
	if line.Entry != 0 {
		kv = append(kv, "entry", line.Entry)
	}
	if line.Detail != "" {
		kv = append(kv, "detail", line.Detail)
	}
	level.Info(logging.At(s.logger, at)).Log(kv...)
}
