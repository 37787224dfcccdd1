package allinone

import (
	"context"
	"errors"
	"sync"
)

// group runs processes in the background and stops them together.
type group struct {
	wg      sync.WaitGroup
	cancels []context.CancelFunc

	mu  sync.Mutex
	err error // the joined errors of the processes that have ended
}

// run runs a process in the background until stop.
func (g *group) run(run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.cancels = append(g.cancels, cancel)
	g.wg.Go(func() {
		err := run(ctx)
		g.mu.Lock()
		defer g.mu.Unlock()
		g.err = errors.Join(g.err, err)
	})
}

// stop stops the processes gracefully, waits for them and returns their errors.
func (g *group) stop() error {
	for _, cancel := range g.cancels {
		cancel()
	}
	g.wg.Wait()
	return g.err
}
