package load

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds and precision of the histograms.
const (
	maxMicroseconds   = int64(10 * time.Minute / time.Microsecond)
	maxSlowdownMilli  = 10_000_000
	significantDigits = 3
	milli             = 1000
)

// Quantiles are figures of one distribution.
type Quantiles struct {
	Count               int64
	Mean, P50, P95, P99 float64
}

// histogram collects values from many goroutines.
type histogram struct {
	mu   sync.Mutex
	hdr  *hdrhistogram.Histogram
	max  int64
	unit float64
}

// newDurations collects durations and gives milliseconds.
func newDurations() *histogram {
	return &histogram{
		hdr: hdrhistogram.New(1, maxMicroseconds, significantDigits),
		max: maxMicroseconds, unit: float64(time.Millisecond / time.Microsecond),
	}
}

// newRatios collects ratios.
func newRatios() *histogram {
	return &histogram{hdr: hdrhistogram.New(1, maxSlowdownMilli, significantDigits), max: maxSlowdownMilli, unit: milli}
}

func (h *histogram) recordDuration(d time.Duration) { h.record(d.Microseconds()) }

func (h *histogram) recordRatio(r float64) { h.record(int64(r * milli)) }

// record clamps a value to the histogram's range.
func (h *histogram) record(value int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// The value is within the range, the only cause of an error.
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

// Spread gives the median of values and their range, as "m (low-high)".
func Spread(values []float64, decimals int) string {
	if len(values) == 0 {
		return "-"
	}
	sorted := slices.Sorted(slices.Values(values))
	return fmt.Sprintf("%.*f (%.*f-%.*f)", decimals, Median(values),
		decimals, sorted[0], decimals, sorted[len(sorted)-1])
}

// Median gives the middle of values, 0 if there is none.
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

// Fit is a straight line through points by least squares.
type Fit struct{ Slope, Intercept float64 }

// FitLine fits y over x. Fewer than two different x give a flat line.
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

// At gives the line's value at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// markdownRow joins the cells of a table row in Markdown.
func markdownRow(cells ...string) string { return "| " + strings.Join(cells, " | ") + " |" }
