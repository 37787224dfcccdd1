// Package ctxsleep provides a sleep that a context can interrupt.
package ctxsleep

import (
	"context"
	"time"
)

// For sleeps for d, or until ctx is done if that is earlier.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
