package shares

import (
	"math"
	"time"
)

// meter measures a rate as a moving average over a time constant.
type meter struct {
	sum     float64
	at      time.Time // when sum was brought up to date
	started time.Time
}

func (m *meter) add(now time.Time, amount float64, timeConstant time.Duration) {
	if m.started.IsZero() {
		m.started, m.at = now, now
	}
	m.sum = m.decayed(now, timeConstant) + amount
	m.at = now
}

func (m *meter) decayed(now time.Time, timeConstant time.Duration) float64 {
	if m.started.IsZero() {
		return 0
	}
	return m.sum * math.Exp(-now.Sub(m.at).Seconds()/timeConstant.Seconds())
}

// rate returns the amount per second. A meter that has run for less than the time
// constant averages over the time since its start.
func (m *meter) rate(now time.Time, timeConstant time.Duration) float64 {
	age := now.Sub(m.started)
	if m.started.IsZero() || age <= 0 {
		return 0
	}
	window := timeConstant.Seconds() * (1 - math.Exp(-age.Seconds()/timeConstant.Seconds()))
	return m.decayed(now, timeConstant) / window
}
