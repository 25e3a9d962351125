package allowance

import (
	"math"
	"testing"
	"time"
)

// Programs that have just started do not lower the estimate: a hundred programs start
// within a second and need 26 requests each.
func TestNewProgramsDoNotLowerTheEstimate(t *testing.T) {
	n, now := newDemand(), time.Unix(0, 0)
	for sent := range 26 {
		for program := range uint64(100) {
			if sent == 0 {
				n.track(program+1, now)
			} else {
				n.add(program+1, now)
			}
		}
		n.update(now)
		if n.perProgram < 26 {
			t.Fatalf("estimate of %.1f requests per program after %d each", n.perProgram, sent+1)
		}
		now = now.Add(100 * time.Millisecond)
	}
	n.update(now.Add(idleTimeout + time.Second))
	n.update(now.Add(forgetTimeout + time.Second))
	if math.Abs(n.perProgram-26) > 0.2 {
		t.Errorf("estimate after all programs ended: %.1f requests per program", n.perProgram)
	}
	if len(n.tracked) > 0 {
		t.Errorf("%d programs are still tracked", len(n.tracked))
	}
}

// Programs that run for long count before they end.
func TestLongProgramsCountBeforeTheyEnd(t *testing.T) {
	n, now := newDemand(), time.Unix(0, 0)
	n.track(1, now)
	for range 200 {
		now = now.Add(updateInterval)
		n.add(1, now)
		n.update(now)
	}
	if n.perProgram < 50 {
		t.Errorf("estimate of %.1f requests per program, one in progress has sent 201", n.perProgram)
	}
}

// A program with a long pause counts once.
func TestAProgramThatPausesCountsOnce(t *testing.T) {
	n, now := newDemand(), time.Unix(0, 0)
	for program := range uint64(100) {
		n.track(program+1, now)
	}
	for range 2 {
		for range 5 {
			for program := range uint64(100) {
				n.add(program+1, now)
			}
		}
		now = now.Add(idleTimeout + updateInterval)
		n.update(now)
	}
	if n.programs != 100 || n.requests != 1100 {
		t.Errorf("counted %g programs with %g requests, want 100 with 11 each", n.programs, n.requests)
	}
}
