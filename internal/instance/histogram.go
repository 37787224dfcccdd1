package instance

import "github.com/rcrowley/go-metrics"

// Parameters of the exponentially decaying samples behind the histograms.
const (
	sampleSize  = 512
	sampleAlpha = 0.015 // weights the last five minutes most
)

// Histogram returns the histogram with the name, and registers it on first use.
func Histogram(name string, r metrics.Registry) metrics.Histogram {
	return r.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(metrics.Histogram)
}
