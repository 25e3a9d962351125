package load

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms.
const (
	maxMicroseconds   = int64(10 * time.Minute / time.Microsecond)
	maxSlowdownMilli  = 10_000_000
	significantDigits = 3
	milli             = 1000
)

// Quantiles summarizes a distribution.
type Quantiles struct {
	Count               int64
	Mean, P50, P95, P99 float64
}

// histogram is safe for concurrent use.
type histogram struct {
	mu   sync.Mutex
	hdr  *hdrhistogram.Histogram
	max  int64
	unit float64
}

// newDurations returns a histogram of durations, reported in milliseconds.
func newDurations() *histogram {
	return &histogram{
		hdr: hdrhistogram.New(1, maxMicroseconds, significantDigits),
		max: maxMicroseconds, unit: float64(time.Millisecond / time.Microsecond),
	}
}

// newRatios returns a histogram of ratios.
func newRatios() *histogram {
	return &histogram{hdr: hdrhistogram.New(1, maxSlowdownMilli, significantDigits), max: maxSlowdownMilli, unit: milli}
}

func (h *histogram) recordDuration(d time.Duration) { h.record(d.Microseconds()) }

func (h *histogram) recordRatio(r float64) { h.record(int64(r * milli)) }

// record adds a value, clamped to the range of the histogram.
func (h *histogram) record(value int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// RecordValue fails only for values out of range.
	_ = h.hdr.RecordValue(min(max(value, 1), h.max))
}

// merge adds the values of another histogram of the same kind.
func (h *histogram) merge(other *histogram) {
	other.mu.Lock()
	defer other.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hdr.Merge(other.hdr)
}

func (h *histogram) quantiles() Quantiles {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := func(q float64) float64 { return float64(h.hdr.ValueAtQuantile(q)) / h.unit }
	return Quantiles{
		Count: h.hdr.TotalCount(), Mean: h.hdr.Mean() / h.unit,
		P50: at(50), P95: at(95), P99: at(99),
	}
}

// FormatSpread formats the median and range of values as "median (low-high)".
func FormatSpread(values []float64, decimals int) string {
	if len(values) == 0 {
		return "-"
	}
	sorted := slices.Sorted(slices.Values(values))
	return fmt.Sprintf("%.*f (%.*f-%.*f)", decimals, Median(values),
		decimals, sorted[0], decimals, sorted[len(sorted)-1])
}

// Median returns the median of values, or 0 if there are none.
func Median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

// Fit is a straight line fitted by least squares.
type Fit struct{ Slope, Intercept float64 }

// FitLine fits y over x. With fewer than two distinct x the line is flat.
func FitLine(x, y []float64) Fit {
	n := float64(len(x))
	if n == 0 {
		return Fit{}
	}
	var sumX, sumY, sumXX, sumXY float64
	for i := range x {
		sumX += x[i]
		sumY += y[i]
		sumXX += x[i] * x[i]
		sumXY += x[i] * y[i]
	}
	spread := n*sumXX - sumX*sumX
	if spread == 0 {
		return Fit{Intercept: sumY / n}
	}
	slope := (n*sumXY - sumX*sumY) / spread
	return Fit{Slope: slope, Intercept: (sumY - slope*sumX) / n}
}

// At returns the value of the line at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// markdownRow formats cells as a Markdown table row.
func markdownRow(cells ...string) string { return "| " + strings.Join(cells, " | ") + " |" }
