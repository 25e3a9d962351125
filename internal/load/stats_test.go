package load

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func near(got, want, tolerance float64) bool { return math.Abs(got-want) <= tolerance }

func TestQuantilesOfDurations(t *testing.T) {
	h := newDurations()
	for i := 1; i <= 1000; i++ {
		h.recordDuration(time.Duration(i) * time.Millisecond)
	}
	q := h.quantiles()
	if q.Count != 1000 || !near(q.Mean, 500.5, 2) || !near(q.P50, 500, 2) || !near(q.P95, 950, 3) || !near(q.P99, 990, 3) {
		t.Errorf("%+v", q)
	}
}

func TestHistogramClamps(t *testing.T) {
	h := newRatios()
	h.recordRatio(0)
	h.recordRatio(1e12)
	if q := h.quantiles(); q.Count != 2 {
		t.Errorf("%+v", q)
	}
}

func TestMergeAddsAllRecords(t *testing.T) {
	one, other := newClassRecorder(), newClassRecorder()
	one.recordFinished(2*time.Second, time.Second)
	other.recordFinished(8*time.Second, 2*time.Second)
	other.recordRefusal("urn:x:overloaded")
	one.merge(other)
	stats := one.stats()
	if stats.Finished != 2 || !near(stats.Slowdown.Mean, 3, 0.01) || stats.Refused["urn:x:overloaded"] != 1 || stats.Refusals != 1 {
		t.Errorf("%+v", stats)
	}
}

func TestFitLineRecoversLine(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParameters())
	properties.Property("the line is recovered from its points", prop.ForAll(func(slope, intercept float64) bool {
		x := []float64{3, 6, 12, 24, 48}
		var y []float64
		for _, at := range x {
			y = append(y, intercept+slope*at)
		}
		fit := FitLine(x, y)
		return near(fit.Slope, slope, 1e-6) && near(fit.Intercept, intercept, 1e-6) && near(fit.At(350), intercept+slope*350, 1e-3)
	}, gen.Float64Range(-1000, 1000), gen.Float64Range(-1000, 1000)))
	properties.TestingRun(t)
}

func TestFitLineOfOnePointIsFlat(t *testing.T) {
	if fit := FitLine([]float64{3, 3}, []float64{1, 2}); fit.Slope != 0 || fit.Intercept != 1.5 {
		t.Errorf("%+v", fit)
	}
}

func TestMedianAndSpread(t *testing.T) {
	if Median([]float64{3, 1, 2}) != 2 || Median([]float64{4, 1, 2, 3}) != 2.5 || Median(nil) != 0 {
		t.Error("wrong median")
	}
	if got := FormatSpread([]float64{3, 1, 2}, 1); got != "2.0 (1.0-3.0)" {
		t.Error(got)
	}
}

func TestParseProc(t *testing.T) {
	stat := "12 (a b) c) S 1 2 3 4 5 6 7 8 9 10 150 50 0 0 20 0"
	if cpu, err := parseCPU(stat); err != nil || cpu != 2*time.Second {
		t.Errorf("%s, %v", cpu, err)
	}
	if _, err := parseCPU("12 (a) S 1"); err == nil {
		t.Error("parseCPU accepted a line with too few fields")
	}
	if rss, err := parseRSS("100 20 3"); err != nil || rss <= 0 || rss%20 != 0 {
		t.Errorf("%d, %v", rss, err)
	}
	if got := parseIO("rchar: 5\nwchar: 7\nsyscr: 9\n"); got != 12 {
		t.Error(got)
	}
}

func TestParseMetricsSumsLabels(t *testing.T) {
	text := "# TYPE a counter\na{x=\"1\"} 2\na{x=\"2\"} 3\nb 4.5\n"
	got := parseMetrics(text)
	if got["a"] != 5 || got["b"] != 4.5 || len(got) != 2 {
		t.Errorf("%v", got)
	}
}

func TestFormatRefusalsUsesProblemNames(t *testing.T) {
	got := formatRefusals(ClassStats{Refused: map[string]int64{"https://x/problems/overloaded": 2, "urn:y:deadline": 1}})
	if !strings.Contains(got, "overloaded 2") || !strings.Contains(got, "deadline 1") {
		t.Error(got)
	}
}
