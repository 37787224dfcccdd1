package instance

import "github.com/rcrowley/go-metrics"

// Size of the samples from which latency histograms are taken.
const (
	sampleSize  = 512
	sampleAlpha = 0.015 // favors the last five minutes
)

// Histogram returns the registry's histogram of the name, made on first use.
func Histogram(name string, r metrics.Registry) metrics.Histogram {
	return r.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(metrics.Histogram)
}
