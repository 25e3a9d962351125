package policy

import (
	"testing"
	"time"
)

// pool is one of many targets that all reported.
func pool(fill float64) PoolLoad {
	return PoolLoad{Service: "s", Utilization: fill, ReportingTargets: 40, Targets: 44, ReportAge: 300 * time.Millisecond, SpeedsLearned: true}
}

// served is the share of evenly drawn programs that are let in.
func served(ask AdmissionRequest, pools ...PoolLoad) float64 {
	const n = 1000
	admitted := 0
	for i := range n {
		ask.Random = (float64(i) + 0.5) / n
		if AdmitRequest(ask, pools...).Admit {
			admitted++
		}
	}
	return float64(admitted) / n
}

func TestRoomIsRefusedByClass(t *testing.T) {
	first, late := AdmissionRequest{Class: ClassFirstTurn}, AdmissionRequest{Class: ClassOverdue}
	for _, test := range []struct {
		name        string
		ask         AdmissionRequest
		pool        PoolLoad
		least, most float64
	}{
		{"half of the slots are free", AdmissionRequest{Class: ClassFirstTurn, Rank: 9, LimitUsage: 1}, pool(0.5), 1, 1},
		{"few wait", first, pool(1.2), 1, 1},
		{"some wait", first, pool(1.4), 0.6, 0.9},
		{"half as many wait as run", first, pool(1.6), 0.2, 0.5},
		{"as many wait as run", first, pool(2), 0.01, 0.1},
		{"far too many", first, pool(100), 0.01, 0.1},
		{"late work beside first turns", late, pool(1.55), 1, 1},
		{"late work where that did not suffice", late, pool(2), 0.2, 0.5},
		{"under way", AdmissionRequest{Class: ClassInProgress}, pool(4), 1, 1},
		{"outside programs", AdmissionRequest{}, pool(4), 1, 1},
		{"few targets", first, PoolLoad{Utilization: 9, ReportingTargets: 1, Targets: 1}, 1, 1},
		{"few reports", first, PoolLoad{Utilization: 9, ReportingTargets: 5, Targets: 44}, 1, 1},
		{"nothing known", first, PoolLoad{}, 1, 1},
	} {
		if got := served(test.ask, test.pool); got < test.least || got > test.most {
			t.Errorf("%s: served %.3f, want %.2f to %.2f", test.name, got, test.least, test.most)
		}
	}
	if got := served(first, pool(0.5), pool(2)); got > 0.1 {
		t.Errorf("a program whose calls find no room is served %.2f", got)
	}
}

func TestRoomOfRanksAndOrganisations(t *testing.T) {
	for fill := 0.5; fill < 4; fill += 0.05 {
		top := served(AdmissionRequest{Class: ClassFirstTurn, Rank: -9}, pool(fill))
		before := top
		for rank := -4.0; rank < 6; rank++ {
			got := served(AdmissionRequest{Class: ClassFirstTurn, Rank: rank}, pool(fill))
			if got > before || got < top/4 {
				t.Fatalf("fill %.2f: rank %g is served %.2f, the one before it %.2f, the first %.2f", fill, rank, got, before, top)
			}
			before = got
		}
		mean := served(AdmissionRequest{Class: ClassFirstTurn}, pool(fill))
		if got := served(AdmissionRequest{Class: ClassFirstTurn, LimitUsage: 0.6}, pool(fill)); got != mean {
			t.Fatalf("fill %.2f: at a usual use %.2f are served, %.2f of those unknown", fill, got, mean)
		}
		over := served(AdmissionRequest{Class: ClassFirstTurn, LimitUsage: 1}, pool(fill))
		if over > mean || over < mean/4 {
			t.Fatalf("fill %.2f: served at the limit %.2f, else %.2f", fill, over, mean)
		}
	}
	if over, usual := served(AdmissionRequest{Class: ClassFirstTurn, LimitUsage: 1}, pool(1.4)), served(AdmissionRequest{Class: ClassFirstTurn, LimitUsage: 0.6}, pool(1.4)); over > usual-0.3 {
		t.Errorf("at the limit %.2f are served, at a usual use %.2f", over, usual)
	}
}

func TestRoomInTime(t *testing.T) {
	ask := AdmissionRequest{Class: ClassInProgress, TimeLeft: 100 * time.Millisecond, TypicalTime: time.Second}
	if v := AdmitRequest(ask, pool(1.2)); v.Admit || v.Cause != CauseNotInTime || v.RetryAfter <= 0 {
		t.Errorf("a request that cannot be served in time: %+v", v)
	}
	if v := AdmitRequest(ask, pool(0.9)); !v.Admit {
		t.Errorf("with free slots: %+v", v)
	}
	ask.TimeLeft = 0
	if v := AdmitRequest(ask, pool(1.2)); !v.Admit {
		t.Errorf("its time is not known: %+v", v)
	}
}

func TestComeBack(t *testing.T) {
	near := AdmitRequest(AdmissionRequest{Class: ClassFirstTurn, Random: 0.3, Jitter: 0.5}, pool(1.5))
	far := AdmitRequest(AdmissionRequest{Class: ClassFirstTurn, Random: 0.1, Jitter: 0.5}, pool(2))
	if near.Admit || far.Admit || near.RetryAfter >= far.RetryAfter {
		t.Errorf("a program that is nearly let in comes back in %s, another in %s", near.RetryAfter, far.RetryAfter)
	}
	early := RetryAfter(AdmissionRequest{Jitter: 0}, pool(2), 0.5)
	late := RetryAfter(AdmissionRequest{Jitter: 1}, pool(2), 0.5)
	if late < early*3/2 {
		t.Errorf("callers come back between %s and %s", early, late)
	}
	if got := RetryAfter(AdmissionRequest{TimeLeft: 600 * time.Millisecond, Jitter: 0.5}, pool(2), 1); got > 200*time.Millisecond {
		t.Errorf("comes back in %s of 600 ms", got)
	}
}

func TestRoomBySize(t *testing.T) {
	ask := func(size, rank float64) float64 {
		return served(AdmissionRequest{Class: ClassFirstTurn, RelativeSize: size, Rank: rank}, pool(1.4))
	}
	if big, mean, small := ask(4, 0), ask(1, 0), ask(0.4, 0); big >= mean || mean >= small {
		t.Errorf("served: big %.2f, mean %.2f, small %.2f", big, mean, small)
	}
	if unknown, mean := ask(0, 0), ask(1, 0); unknown != mean {
		t.Errorf("served of unknown size %.2f, of the mean one %.2f", unknown, mean)
	}
	if big, small := ask(4, -1), ask(0.4, 1); big <= small {
		t.Errorf("urgent and big %.2f, less urgent and small %.2f", big, small)
	}
}
