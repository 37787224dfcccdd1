package exit

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// SignalContext returns a context that the first SIGINT or SIGTERM cancels. The
// second one calls end, which is to end the process.
func SignalContext(parent context.Context, end func()) context.Context {
	ctx, cancel := context.WithCancel(parent)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		cancel()
		<-signals
		end()
	}()
	return ctx
}
