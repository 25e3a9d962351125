package policy

import (
	"testing"
	"time"
)

// pool returns the load of many targets, most of which have reported.
func pool(utilization float64) PoolLoad {
	return PoolLoad{Service: "s", Utilization: utilization, ReportingTargets: 40, UsableTargets: 44, ReportAge: 300 * time.Millisecond, SpeedsLearned: true}
}

// admittedFraction returns the fraction of programs that are admitted, with
// Random evenly distributed.
func admittedFraction(request AdmissionRequest, pools ...PoolLoad) float64 {
	const n = 1000
	admitted := 0
	for i := range n {
		request.Random = (float64(i) + 0.5) / n
		if AdmitRequest(request, pools...).Admit {
			admitted++
		}
	}
	return float64(admitted) / n
}

func TestAdmissionByClass(t *testing.T) {
	first, late := AdmissionRequest{Class: ClassFirstTurn}, AdmissionRequest{Class: ClassOverdue}
	for _, test := range []struct {
		name            string
		request         AdmissionRequest
		pool            PoolLoad
		lowest, highest float64
	}{
		{"half of the slots free", AdmissionRequest{Class: ClassFirstTurn, Rank: 9, LimitUtilization: 1}, pool(0.5), 1, 1},
		{"few queued", first, pool(1.2), 1, 1},
		{"some queued", first, pool(1.4), 0.6, 0.9},
		{"half as many queued as running", first, pool(1.6), 0.2, 0.5},
		{"as many queued as running", first, pool(2), 0.01, 0.1},
		{"extreme overload", first, pool(100), 0.01, 0.1},
		{"overdue at moderate overload", late, pool(1.55), 1, 1},
		{"overdue at high overload", late, pool(2), 0.2, 0.5},
		{"in progress", AdmissionRequest{Class: ClassInProgress}, pool(4), 1, 1},
		{"outside programs", AdmissionRequest{}, pool(4), 1, 1},
		{"few targets", first, PoolLoad{Utilization: 9, ReportingTargets: 1, UsableTargets: 1}, 1, 1},
		{"few reports", first, PoolLoad{Utilization: 9, ReportingTargets: 5, UsableTargets: 44}, 1, 1},
		{"no reports", first, PoolLoad{}, 1, 1},
	} {
		if got := admittedFraction(test.request, test.pool); got < test.lowest || got > test.highest {
			t.Errorf("%s: admitted %.3f, want %.2f to %.2f", test.name, got, test.lowest, test.highest)
		}
	}
	if got := admittedFraction(first, pool(0.5), pool(2)); got > 0.1 {
		t.Errorf("admitted %.2f of the programs whose calls go to a full pool", got)
	}
}

func TestAdmissionByRankAndOrganisation(t *testing.T) {
	for utilization := 0.5; utilization < 4; utilization += 0.05 {
		top := admittedFraction(AdmissionRequest{Class: ClassFirstTurn, Rank: -9}, pool(utilization))
		previous := top
		for rank := -4.0; rank < 6; rank++ {
			got := admittedFraction(AdmissionRequest{Class: ClassFirstTurn, Rank: rank}, pool(utilization))
			if got > previous || got < top/4 {
				t.Fatalf("utilization %.2f: rank %g admitted %.2f, previous rank %.2f, most urgent %.2f", utilization, rank, got, previous, top)
			}
			previous = got
		}
		mean := admittedFraction(AdmissionRequest{Class: ClassFirstTurn}, pool(utilization))
		if got := admittedFraction(AdmissionRequest{Class: ClassFirstTurn, LimitUtilization: 0.6}, pool(utilization)); got != mean {
			t.Fatalf("utilization %.2f: admitted %.2f at typical limit utilization, %.2f at unknown", utilization, got, mean)
		}
		over := admittedFraction(AdmissionRequest{Class: ClassFirstTurn, LimitUtilization: 1}, pool(utilization))
		if over > mean || over < mean/4 {
			t.Fatalf("utilization %.2f: admitted %.2f at the limit, %.2f otherwise", utilization, over, mean)
		}
	}
	if over, typical := admittedFraction(AdmissionRequest{Class: ClassFirstTurn, LimitUtilization: 1}, pool(1.4)), admittedFraction(AdmissionRequest{Class: ClassFirstTurn, LimitUtilization: 0.6}, pool(1.4)); over > typical-0.3 {
		t.Errorf("admitted %.2f at the limit, %.2f at typical utilization", over, typical)
	}
}

func TestAdmissionByTimeLeft(t *testing.T) {
	request := AdmissionRequest{Class: ClassInProgress, TimeLeft: 100 * time.Millisecond, TypicalTime: time.Second}
	if v := AdmitRequest(request, pool(1.2)); v.Admit || v.Cause != CauseNotInTime || v.RetryAfter <= 0 {
		t.Errorf("request that cannot complete in time: %+v", v)
	}
	if v := AdmitRequest(request, pool(0.9)); !v.Admit {
		t.Errorf("with free slots: %+v", v)
	}
	request.TimeLeft = 0
	if v := AdmitRequest(request, pool(1.2)); !v.Admit {
		t.Errorf("with unknown time left: %+v", v)
	}
}

func TestRetryAfter(t *testing.T) {
	near := AdmitRequest(AdmissionRequest{Class: ClassFirstTurn, Random: 0.3, Jitter: 0.5}, pool(1.5))
	far := AdmitRequest(AdmissionRequest{Class: ClassFirstTurn, Random: 0.1, Jitter: 0.5}, pool(2))
	if near.Admit || far.Admit || near.RetryAfter >= far.RetryAfter {
		t.Errorf("program close to admission retries after %s, another after %s", near.RetryAfter, far.RetryAfter)
	}
	early := RetryAfter(AdmissionRequest{Jitter: 0}, pool(2), 0.5)
	late := RetryAfter(AdmissionRequest{Jitter: 1}, pool(2), 0.5)
	if late < early*3/2 {
		t.Errorf("callers retry after %s to %s", early, late)
	}
	if got := RetryAfter(AdmissionRequest{TimeLeft: 600 * time.Millisecond, Jitter: 0.5}, pool(2), 1); got > 200*time.Millisecond {
		t.Errorf("retries after %s of 600 ms", got)
	}
}

func TestAdmissionBySize(t *testing.T) {
	admitted := func(size, rank float64) float64 {
		return admittedFraction(AdmissionRequest{Class: ClassFirstTurn, RelativeSize: size, Rank: rank}, pool(1.4))
	}
	if large, mean, small := admitted(4, 0), admitted(1, 0), admitted(0.4, 0); large >= mean || mean >= small {
		t.Errorf("admitted: large %.2f, average %.2f, small %.2f", large, mean, small)
	}
	if unknown, mean := admitted(0, 0), admitted(1, 0); unknown != mean {
		t.Errorf("admitted: unknown size %.2f, average %.2f", unknown, mean)
	}
	if large, small := admitted(4, -1), admitted(0.4, 1); large <= small {
		t.Errorf("admitted: urgent and large %.2f, less urgent and small %.2f", large, small)
	}
}
