package policy

import (
	"math/rand"
	"testing"
	"time"
)

// Few normal responses reach the timeout, early retries stay within their budget
// while half of the responses are late, and they stop under overload.
func TestEarlyRetriesStayWithinBudget(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	var e EarlyRetry
	normalLatency := func() time.Duration { return time.Duration(20+random.Intn(60)) * time.Millisecond }
	if _, ok := e.Timeout(0); ok {
		t.Error("retried early without samples")
	}
	late, enabled := 0, 0
	for range 4000 {
		took := normalLatency()
		if delay, ok := e.Timeout(0.3); ok {
			enabled++
			if took > delay {
				late++
			}
		}
		e.Add(took)
	}
	if enabled == 0 || late*50 > enabled {
		t.Errorf("%d of %d normal responses exceeded the timeout", late, enabled)
	}
	if e.TailLatency > 160*time.Millisecond {
		t.Errorf("tail latency %s of responses that take at most 80 ms", e.TailLatency)
	}
	retries := 0
	for range 1000 {
		if _, ok := e.Timeout(0.3); ok && random.Intn(2) == 0 {
			e.RecordRetry()
			retries++
			continue
		}
		e.Add(normalLatency())
	}
	if retries == 0 || retries > 25 {
		t.Errorf("%d early retries for 1,000 requests", retries)
	}
	for range 1000 {
		e.Add(normalLatency())
	}
	if _, ok := e.Timeout(maxEarlyRetryUtilization); ok {
		t.Error("retried early under overload")
	}
}
