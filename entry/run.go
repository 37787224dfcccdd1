package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/coordinator"
)

// Run serves until ctx is canceled and then shuts down gracefully: it refuses new
// jobs and finishes the open ones. It returns an error if jobs were still open after
// the drain timeout, or ErrFenced if another entry has fenced this one.
func (e *Entry) Run(ctx context.Context) error {
	level.Info(e.logger).Log("event", "started", "incarnation", e.self.Incarnation,
		"http_addr", e.HTTPAddr(), "rpc_addr", e.RPCAddr(), "zone", e.self.Zone)
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	go e.serveRPC()
	go e.serveHTTP()
	go e.loop(background)
	go e.docs.run(background)
	if e.keys != nil {
		go e.keys.Run(background)
	}
	go e.peers.run(background, e)

	err := e.awaitStop(ctx)
	e.docs.leave()
	if drainErr := e.awaitDrained(); drainErr == nil {
		e.peers.sendClosed(&e.closedReport)
		e.linger()
	} else {
		err = drainErr
	}
	e.shutdown()
	stopBackground()
	<-e.stopped
	level.Info(e.logger).Log("event", "stopped")
	return err
}

// ErrFenced is returned by Run if another entry has declared this one dead and fenced
// it.
var ErrFenced = errors.New("entry: fenced by another entry")

// awaitStop waits until ctx ends, or until the coordinator has drained because this
// entry was fenced.
func (e *Entry) awaitStop(ctx context.Context) error {
	select {
	case <-ctx.Done():
		level.Info(e.logger).Log("event", "leaving")
		e.events.post(coordinator.LeaveRequested{})
		return nil
	case <-e.drained:
		level.Error(e.logger).Log("event", "leaving", "err", ErrFenced)
		return ErrFenced
	}
}

func (e *Entry) awaitDrained() error {
	select {
	case <-e.drained:
		return nil
	case <-time.After(time.Duration(e.opts.DrainTimeout)):
		return errors.New("entry: jobs are still open after the drain timeout")
	}
}

// linger keeps the entry serving for StopLinger, so that callers whose answer was
// lost can request it again.
func (e *Entry) linger() {
	time.Sleep(time.Duration(e.opts.StopLinger))
}

// shutdownTimeout is how long shutdown waits for requests and calls in flight.
const shutdownTimeout = 5 * time.Second

// shutdown closes both servers after the requests and calls in flight have been
// answered.
func (e *Entry) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := e.http.Shutdown(ctx); err != nil {
		e.http.Close()
	}
	e.rpcListener.Close()
	if err := e.rpc.Shutdown(ctx); err != nil {
		level.Warn(e.logger).Log("event", "rpc_calls_cut", "err", err)
	}
}

func (e *Entry) serveRPC() {
	if err := e.rpc.Serve(e.rpcListener); err != nil {
		level.Error(e.logger).Log("event", "rpc_server_failed", "err", err)
	}
}

func (e *Entry) serveHTTP() {
	if err := e.http.Serve(e.httpListener); !errors.Is(err, http.ErrServerClosed) {
		level.Error(e.logger).Log("event", "http_server_failed", "err", err)
	}
}
