package logfollower_test

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/logfollower"
	"github.com/chestnuthollow/chestnuthollow/platformlog"
)

// silentLog answers no read.
type silentLog struct{ platformlog.Log }

func (silentLog) Read(ctx context.Context, _ uint64, _ int) ([]platformlog.Record, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a warning that the log is unreachable, written while the process stops,
// because a read has ended with it.
func TestReadThatEndsWithTheFollowerIsNotAFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var lines bytes.Buffer
		f, err := logfollower.New(logfollower.Options{Log: silentLog{}, Logger: log.NewLogfmtLogger(&lines)})
		g.Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Run(ctx)
		}()
		synctest.Wait()
		cancel()
		<-done
		synctest.Wait()
		g.Expect(lines.String()).NotTo(ContainSubstring("log_unreachable"))
	})
}
