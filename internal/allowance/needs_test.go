package allowance

import (
	"math"
	"testing"
	"time"
)

// TestManyThatHaveJustBegunDoNotLowerTheNeed replays an organisation that begins
// a hundred programs within a second, each of which needs 26 requests.
func TestManyThatHaveJustBegunDoNotLowerTheNeed(t *testing.T) {
	n, now := newNeeds(), time.Unix(0, 0)
	for sent := range 26 {
		for program := range uint64(100) {
			if sent == 0 {
				n.begin(program+1, now)
			} else {
				n.add(program+1, now)
			}
		}
		n.count(now)
		if n.perProgram < 26 {
			t.Fatalf("%.1f requests a program after %d", n.perProgram, sent+1)
		}
		now = now.Add(100 * time.Millisecond)
	}
	n.count(now.Add(quiet + time.Second))
	n.count(now.Add(forgotten + time.Second))
	if math.Abs(n.perProgram-26) > 0.2 {
		t.Errorf("%.1f requests a program after all ended", n.perProgram)
	}
	if len(n.under) > 0 {
		t.Errorf("%d programs are still followed", len(n.under))
	}
}

// TestLongProgramsCountBeforeTheyEnd replays programs that go on for long.
func TestLongProgramsCountBeforeTheyEnd(t *testing.T) {
	n, now := newNeeds(), time.Unix(0, 0)
	n.begin(1, now)
	for range 200 {
		now = now.Add(countInterval)
		n.add(1, now)
		n.count(now)
	}
	if n.perProgram < 50 {
		t.Errorf("%.1f requests a program, one under way has sent 201", n.perProgram)
	}
}

// TestAProgramThatPausesCountsOnce replays a program with a pause in the middle.
func TestAProgramThatPausesCountsOnce(t *testing.T) {
	n, now := newNeeds(), time.Unix(0, 0)
	for program := range uint64(100) {
		n.begin(program+1, now)
	}
	for range 2 {
		for range 5 {
			for program := range uint64(100) {
				n.add(program+1, now)
			}
		}
		now = now.Add(quiet + countInterval)
		n.count(now)
	}
	if n.programs != 100 || n.requests != 1100 {
		t.Errorf("%g programs with %g requests, 100 have sent 11 each", n.programs, n.requests)
	}
}
