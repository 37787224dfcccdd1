package allinone

import (
	"context"
	"errors"
	"sync"
)

// group is processes that are stopped together.
type group struct {
	wg      sync.WaitGroup
	cancels []context.CancelFunc

	mu  sync.Mutex
	err error
}

// run runs a process in the background.
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

// stop stops the processes gracefully and returns their errors.
func (g *group) stop() error {
	for _, cancel := range g.cancels {
		cancel()
	}
	g.wg.Wait()
	return g.err
}
