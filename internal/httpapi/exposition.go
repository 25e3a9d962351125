package httpapi

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

const contentTypeMetrics = "text/plain; version=0.0.4; charset=utf-8"

// Metric types of the text format.
const (
	typeCounter   = "counter"
	typeGauge     = "gauge"
	typeHistogram = "histogram"
	typeSummary   = "summary"
)

// Metrics is a tally reporter that holds the reported values in memory and
// serves them in the Prometheus text format. It is to be set as the Reporter of
// tally.NewRootScope and as Config.Metrics.
//
// Histograms have no _sum, since tally reports only the samples of each bucket.
// Timers are exposed as summaries in seconds.
type Metrics struct {
	mu       sync.Mutex
	families map[string]*family
}

// family holds all series of one metric name.
type family struct {
	kind   string
	series map[string]*series
}

// series holds the values of one combination of labels.
type series struct {
	value float64
	sum   float64
	// buckets holds the sample counts by upper bound.
	buckets map[float64]int64
}

// NewMetrics returns an empty reporter.
func NewMetrics() *Metrics { return &Metrics{families: make(map[string]*family)} }

var _ tally.StatsReporter = (*Metrics)(nil)

// Capabilities implements tally.BaseStatsReporter.
func (m *Metrics) Capabilities() tally.Capabilities { return m }

// Reporting implements tally.Capabilities.
func (m *Metrics) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (m *Metrics) Tagging() bool { return true }

// Flush implements tally.BaseStatsReporter.
func (m *Metrics) Flush() {}

// ReportCounter implements tally.StatsReporter.
func (m *Metrics) ReportCounter(name string, tags map[string]string, value int64) {
	m.update(name, typeCounter, tags, func(s *series) { s.value += float64(value) })
}

// ReportGauge implements tally.StatsReporter.
func (m *Metrics) ReportGauge(name string, tags map[string]string, value float64) {
	m.update(name, typeGauge, tags, func(s *series) { s.value = value })
}

// ReportTimer implements tally.StatsReporter.
func (m *Metrics) ReportTimer(name string, tags map[string]string, interval time.Duration) {
	m.update(name, typeSummary, tags, func(s *series) {
		s.value++
		s.sum += interval.Seconds()
	})
}

// ReportHistogramValueSamples implements tally.StatsReporter.
func (m *Metrics) ReportHistogramValueSamples(name string, tags map[string]string,
	buckets tally.Buckets, _, upper float64, samples int64) {
	m.update(name, typeHistogram, tags, func(s *series) { s.addSamples(buckets.AsValues(), upper, samples) })
}

// ReportHistogramDurationSamples implements tally.StatsReporter.
func (m *Metrics) ReportHistogramDurationSamples(name string, tags map[string]string,
	buckets tally.Buckets, _, upper time.Duration, samples int64) {
	bounds := make([]float64, 0, buckets.Len())
	for _, bound := range buckets.AsDurations() {
		bounds = append(bounds, bound.Seconds())
	}
	m.update(name, typeHistogram, tags, func(s *series) { s.addSamples(bounds, upper.Seconds(), samples) })
}

// addSamples adds the samples of one bucket. The first call creates all buckets,
// so that every instance exposes the same ones.
func (s *series) addSamples(bounds []float64, upper float64, samples int64) {
	if len(s.buckets) == 0 {
		for _, bound := range bounds {
			s.buckets[bound] = 0
		}
	}
	s.buckets[upper] += samples
}

func (m *Metrics) update(name, kind string, tags map[string]string, change func(*series)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	name = metricName(name)
	f, ok := m.families[name]
	if !ok {
		f = &family{kind: kind, series: make(map[string]*series)}
		m.families[name] = f
	}
	labels := formatLabels(tags)
	s, ok := f.series[labels]
	if !ok {
		s = &series{buckets: make(map[float64]int64)}
		f.series[labels] = s
	}
	change(s)
}

// ServeHTTP writes all metrics in the text format.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", contentTypeMetrics)
	_, _ = io.WriteString(w, m.text())
}

func (m *Metrics) text() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out strings.Builder
	for _, name := range sortedKeys(m.families) {
		f := m.families[name]
		fmt.Fprintf(&out, "# TYPE %s %s\n", name, f.kind)
		for _, labels := range sortedKeys(f.series) {
			f.series[labels].write(&out, name, f.kind, labels)
		}
	}
	return out.String()
}

func (s *series) write(out *strings.Builder, name, kind, labels string) {
	switch kind {
	case typeSummary:
		writeSample(out, name+"_count", labels, s.value)
		writeSample(out, name+"_sum", labels, s.sum)
	case typeHistogram:
		s.writeBuckets(out, name, labels)
	default:
		writeSample(out, name, labels, s.value)
	}
}

// writeBuckets writes the cumulative buckets. The largest bound that tally
// reports represents infinity.
func (s *series) writeBuckets(out *strings.Builder, name, labels string) {
	var total int64
	for _, bound := range sortedKeys(s.buckets) {
		total += s.buckets[bound]
		if bound < maxFiniteBound {
			le := strconv.FormatFloat(bound, 'g', -1, 64)
			writeSample(out, name+"_bucket", joinLabels(labels, `le="`+le+`"`), float64(total))
		}
	}
	writeSample(out, name+"_bucket", joinLabels(labels, `le="+Inf"`), float64(total))
	writeSample(out, name+"_count", labels, float64(total))
}

// maxFiniteBound is greater than any bound in use and less than the values that
// tally uses for infinity.
const maxFiniteBound = 1e9

func writeSample(out *strings.Builder, name, labels string, value float64) {
	if labels != "" {
		labels = "{" + labels + "}"
	}
	fmt.Fprintf(out, "%s%s %s\n", name, labels, strconv.FormatFloat(value, 'g', -1, 64))
}

func joinLabels(labels, extra string) string {
	if labels == "" {
		return extra
	}
	return labels + "," + extra
}

func formatLabels(tags map[string]string) string {
	escape := strings.NewReplacer(`\`, `\\`, "\n", `\n`, `"`, `\"`)
	parts := make([]string, 0, len(tags))
	for _, name := range sortedKeys(tags) {
		parts = append(parts, metricName(name)+`="`+escape.Replace(tags[name])+`"`)
	}
	return strings.Join(parts, ",")
}

// metricName replaces characters that are invalid in metric and label names.
func metricName(name string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '_' {
			return r
		}
		return '_'
	}, name)
}

func sortedKeys[K string | float64, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
