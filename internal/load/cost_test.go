package load

import (
	"testing"
	"time"
)

func TestCostBetweenReturnsRatesPerInstance(t *testing.T) {
	start := time.Unix(100, 0)
	end := start.Add(2 * time.Second)
	before := &reading{
		at: start, usage: []usage{{at: start}, {at: start}}, metrics: map[string]float64{metricPolls: 1}, appends: 5, calls: 1,
	}
	after := &reading{
		at: end, metrics: map[string]float64{metricPolls: 5}, appends: 9, calls: 7,
		usage: []usage{
			{at: end, cpu: 40 * time.Millisecond, rss: 1 << 20, io: 100},
			{at: end, cpu: 20 * time.Millisecond, rss: 3 << 20, io: 300},
		},
	}
	stats := costBetween(before, after)
	if !near(stats.CPU, 1.5, 1e-9) || !near(stats.RSS, 2, 1e-9) || !near(stats.IO, 100, 1e-9) {
		t.Errorf("%+v", stats)
	}
	if stats.Polls != 1 || stats.Appends != 2 || stats.Calls != 3 {
		t.Errorf("%+v", stats)
	}
}

func TestCountGoroutines(t *testing.T) {
	dump := "SIGQUIT: quit\n\ngoroutine 1 gp=0x1 m=0 [running]:\nmain.main()\n\ngoroutine 7 [select, 2 minutes]:\nx()\ngoroutine profile\n"
	if got := countGoroutines(dump); got != 2 {
		t.Error(got)
	}
}
