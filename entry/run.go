package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chestnuthollow/chestnuthollow/coordinator"
)

// Run serves until ctx is canceled, then stops gracefully: it refuses new jobs,
// finishes the open ones and returns. It returns an error if the drain timeout
// cut that short, or if it stopped because another entry has fenced it.
func (e *Entry) Run(ctx context.Context) error {
	level.Info(e.log).Log("event", "started", "incarnation", e.self.Incarnation,
		"http_addr", e.HTTPAddr(), "rpc_addr", e.RPCAddr(), "zone", e.self.Zone)
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
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
		e.peers.tellClosed(&e.closing)
		e.linger()
	} else {
		err = drainErr
	}
	e.shutdown()
	cancel()
	<-e.stopped
	level.Info(e.log).Log("event", "stopped")
	return err
}

// ErrFenced says that another entry took this one for dead and fenced it.
var ErrFenced = errors.New("entry: fenced by another entry")

// awaitStop waits until the process is told to stop, or has drained by itself
// because it was fenced.
func (e *Entry) awaitStop(ctx context.Context) error {
	select {
	case <-ctx.Done():
		level.Info(e.log).Log("event", "leaving")
		e.mail.post(coordinator.LeaveRequested{})
		return nil
	case <-e.drained:
		level.Error(e.log).Log("event", "leaving", "err", ErrFenced)
		return ErrFenced
	}
}

func (e *Entry) awaitDrained() error {
	select {
	case <-e.drained:
		return nil
	case <-time.After(time.Duration(e.opts.DrainTimeout)):
		return errors.New("entry: drain timeout passed with jobs open")
	}
}

// linger goes on answering for the jobs of this run, for callers whose answer
// was lost.
func (e *Entry) linger() {
	time.Sleep(time.Duration(e.opts.StopLinger))
}

// shutdownTimeout bounds how long replies under way may take to go out.
const shutdownTimeout = 5 * time.Second

// shutdown lets the replies under way go out.
func (e *Entry) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := e.http.Shutdown(ctx); err != nil {
		e.http.Close()
	}
	e.rpcLn.Close()
	if err := e.rpc.Shutdown(ctx); err != nil {
		level.Warn(e.log).Log("event", "rpc_calls_cut", "err", err)
	}
}

func (e *Entry) serveRPC() {
	if err := e.rpc.Serve(e.rpcLn); err != nil {
		level.Error(e.log).Log("event", "rpc_server_failed", "err", err)
	}
}

func (e *Entry) serveHTTP() {
	if err := e.http.Serve(e.httpLn); !errors.Is(err, http.ErrServerClosed) {
		level.Error(e.log).Log("event", "http_server_failed", "err", err)
	}
}
