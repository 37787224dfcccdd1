package sidecar

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/guard"
	"github.com/chestnuthollow/chestnuthollow/internal/rpcserver"
)

// lookSlack is added to the wait of a look.
const lookSlack = 250 * time.Millisecond

// step feeds the guard one event and carries its effects out, in order. No
// effect blocks.
func (s *Sidecar) step(ev guard.Event) {
	s.mu.Lock()
	now := time.Now()
	effects := s.guard.Step(now, ev)
	for _, ef := range effects {
		s.carryOut(ef)
	}
	s.timer.Reset(max(s.guard.NextWake().Sub(now), time.Millisecond))
	s.mu.Unlock()
	for _, ef := range effects {
		if line, ok := ef.(guard.LogEvent); ok {
			s.log(&line)
		}
	}
}

// carryOut is called with s.mu held.
func (s *Sidecar) carryOut(ef guard.Effect) {
	switch ef := ef.(type) {
	case guard.StartRun:
		s.metrics.starts.Inc(1)
		go s.order(s.patience.wait(), func(ctx context.Context) guard.Event { return s.platform.Server.Start(ctx, ef) })
	case guard.StopRun:
		s.metrics.stops.Inc(1)
		go s.order(maxPatience, func(ctx context.Context) guard.Event { return s.platform.Server.Stop(ctx, ef) })
	case guard.RenewLease:
		go s.order(ef.Wait+lookSlack, func(ctx context.Context) guard.Event { return s.platform.Server.RenewLease(ctx, ef) })
	case guard.ReplyHello:
		s.deliver(ef.Call, &ef.Reply)
	case guard.ReplyOrder:
		s.deliver(ef.Call, &ef.Reply)
	case guard.ReplyPoll:
		s.deliver(ef.Call, &ef.Reply)
	case guard.ReplyError:
		s.deliver(ef.Call, callError(ef.Reason))
	case guard.CloseSession:
		if conn := s.conns[ef.Session]; conn != nil {
			delete(s.conns, ef.Session)
			rpcserver.CloseConn(conn)
		}
	case guard.ServerChanged:
		select {
		case s.serverKnown <- struct{}{}:
		default: // the announcer is told already
		}
	case guard.Drained:
		close(s.drained)
	}
}

// order makes one call to the backend server and feeds its answer back.
func (s *Sidecar) order(timeout time.Duration, call func(context.Context) guard.Event) {
	ctx, cancel := context.WithTimeout(s.background, timeout)
	defer cancel()
	begun := time.Now()
	ev := call(ctx)
	if started, ok := ev.(guard.StartReplied); ok {
		took := time.Since(begun)
		s.metrics.startTime.Update(took.Microseconds())
		if started.Result == guard.StartUnknown {
			s.patience.unanswered()
		} else {
			s.patience.answered(took)
		}
	}
	if s.background.Err() == nil {
		s.step(ev)
	}
}

// callError is the refusal of an entry's call.
type callError string

// Error implements the error interface.
func (e callError) Error() string { return string(e) }

// deliver is called with s.mu held.
func (s *Sidecar) deliver(call guard.CallID, message any) {
	if ch := s.calls[call]; ch != nil {
		delete(s.calls, call)
		ch <- message
	}
}

func (s *Sidecar) log(line *guard.LogEvent) {
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
	level.Info(s.logger).Log(kv...)
}
