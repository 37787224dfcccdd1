package exit

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// SignalContext returns a context that is canceled by the first SIGINT or
// SIGTERM. A SIGINT after that calls forceExit, which is to terminate the process
// at once. Further SIGTERMs are ignored, because supervisors may repeat them during
// the graceful shutdown.
func SignalContext(parent context.Context, forceExit func()) context.Context {
	ctx, cancel := context.WithCancel(parent)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		cancel()
		for sig := range signals {
			if sig == os.Interrupt {
				forceExit()
			}
		}
	}()
	return ctx
}
