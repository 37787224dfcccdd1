package exit

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// SignalContext returns a context that is canceled by the first SIGINT or
// SIGTERM. The second signal calls forceExit, which is to terminate the process
// at once.
func SignalContext(parent context.Context, forceExit func()) context.Context {
	ctx, cancel := context.WithCancel(parent)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		cancel()
		<-signals
		forceExit()
	}()
	return ctx
}
