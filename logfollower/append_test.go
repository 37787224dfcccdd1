package logfollower_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnuthollow/chestnuthollow/logfollower"
	"github.com/chestnuthollow/chestnuthollow/platformlog"
)

// unavailableLog fails each append and records when it was made.
type unavailableLog struct {
	platformlog.Log
	appends []time.Time
}

func (l *unavailableLog) Append(context.Context, []byte) (uint64, error) {
	l.appends = append(l.appends, time.Now())
	return 0, errors.New("unavailable")
}

// A request to read ended the pause between two attempts to announce the departure, and
// the read it asked for was not made.
func TestDepartureIsRetriedAfterAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := &unavailableLog{}
		f, err := logfollower.New(logfollower.Options{Log: log})
		g.Expect(err).NotTo(HaveOccurred())
		f.RequestRead()
		g.Expect(f.Leave(t.Context())).NotTo(Succeed())
		g.Expect(len(log.appends)).To(BeNumerically(">", 1))
		g.Expect(log.appends[1].Sub(log.appends[0])).To(BeNumerically(">=", platformlog.DefaultBackoffBase/2))
	})
}
