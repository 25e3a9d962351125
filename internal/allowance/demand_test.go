package allowance

import (
	"math"
	"testing"
	"time"
)

// Programs that have just started do not lower the estimate: a hundred programs start
// within a second and need 26 requests each.
func TestNewProgramsDoNotLowerTheEstimate(t *testing.T) {
	d, now := newDemand(), time.Unix(0, 0)
	for sent := range 26 {
		for program := range uint64(100) {
			if sent == 0 {
				d.track(program+1, now)
			} else {
				d.add(program+1, now)
			}
		}
		d.update(now)
		if d.perProgram < 26 {
			t.Fatalf("estimate of %.1f requests per program after %d each", d.perProgram, sent+1)
		}
		now = now.Add(100 * time.Millisecond)
	}
	d.update(now.Add(idleTimeout + time.Second))
	d.update(now.Add(forgetTimeout + time.Second))
	if math.Abs(d.perProgram-26) > 0.2 {
		t.Errorf("estimate after all programs ended: %.1f requests per program", d.perProgram)
	}
	if len(d.tracked) > 0 {
		t.Errorf("%d programs are still tracked", len(d.tracked))
	}
}

// Programs that run for long count before they end.
func TestLongProgramsCountBeforeTheyEnd(t *testing.T) {
	d, now := newDemand(), time.Unix(0, 0)
	d.track(1, now)
	for range 200 {
		now = now.Add(updateInterval)
		d.add(1, now)
		d.update(now)
	}
	if d.perProgram < 50 {
		t.Errorf("estimate of %.1f requests per program, one in progress has sent 201", d.perProgram)
	}
}

// A program with a long pause counts once.
func TestPausedProgramCountsOnce(t *testing.T) {
	d, now := newDemand(), time.Unix(0, 0)
	for program := range uint64(100) {
		d.track(program+1, now)
	}
	for range 2 {
		for range 5 {
			for program := range uint64(100) {
				d.add(program+1, now)
			}
		}
		now = now.Add(idleTimeout + updateInterval)
		d.update(now)
	}
	if d.programs != 100 || d.requests != 1100 {
		t.Errorf("counted %g programs with %g requests, want 100 with 11 each", d.programs, d.requests)
	}
}
