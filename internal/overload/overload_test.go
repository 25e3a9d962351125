package overload

import (
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/policy"
	"github.com/banyanglade/banyanglade/internal/targets"
)

// testPools maps services to the utilization of pools of 44 targets.
type testPools map[string]float64

func (pools testPools) Pool(service string, _ time.Time) targets.Pool {
	utilization, ok := pools[service]
	if !ok {
		return targets.Pool{}
	}
	return targets.Pool{Utilization: utilization, ReportingTargets: 40, UsableTargets: 44, ReportAge: 200 * time.Millisecond, SpeedsLearned: true}
}

var start = time.Unix(1000, 0)

func newTestController(pools testPools) *Controller {
	c := New(pools, tally.NoopScope)
	c.jitter = func() float64 { return 0.5 }
	return c
}

func firstTurn(program string) Request {
	return Request{Service: "engine", Program: program, Class: policy.ClassFirstTurn}
}

func TestInstancesAgreeOnAProgram(t *testing.T) {
	a, b := newTestController(testPools{"engine": 1.5}), newTestController(testPools{"engine": 1.5})
	refused := 0
	for i := range 200 {
		r := firstTurn(strings.Repeat("p", i+1))
		here, there := a.Admit(r, start), b.Admit(r, start)
		allowedRetries := a.Admit(r, start)
		if here.Admit != there.Admit || here.Admit != allowedRetries.Admit {
			t.Fatalf("program %d: %+v and %+v at two instances, %+v on retry", i, here, there, allowedRetries)
		}
		if !here.Admit {
			refused++
		}
	}
	if refused < 50 || refused > 150 {
		t.Errorf("%d of 200 refused", refused)
	}
}

func TestFirstTurnRequiresCalledPools(t *testing.T) {
	c := newTestController(testPools{"engine": 0.5, "tool": 9})
	if v := c.Admit(firstTurn("p"), start); !v.Admit {
		t.Fatalf("before any call: %+v", v)
	}
	c.Admit(Request{Service: "tool", Program: "q", IsCall: true, Class: policy.ClassInProgress}, start)
	refused := 0
	for i := range 20 {
		v := c.Admit(firstTurn(strings.Repeat("p", i+1)), start)
		if !v.Admit && v.Pool.Service == "tool" {
			refused++
		}
	}
	if refused < 15 {
		t.Errorf("%d of 20 refused although the called service is full", refused)
	}
	if v := c.Admit(firstTurn("p"), start.Add(calledServiceTTL)); !v.Admit {
		t.Errorf("long after the last call: %+v", v)
	}
}

func TestRetriesAreBounded(t *testing.T) {
	allowedRetries := func(c *Controller, refusals int) int {
		allowed := 0
		for range 1000 {
			c.Admit(Request{Service: "engine", Class: policy.ClassInProgress, Program: "p"}, start)
			if c.AllowRetry("engine", refusals, start) {
				allowed++
			}
		}
		return allowed
	}
	if got := allowedRetries(newTestController(testPools{"engine": 3}), 1); got < 150 || got > 220 {
		t.Errorf("without free slots %d of 1000 retries allowed", got)
	}
	if got := allowedRetries(newTestController(testPools{"engine": 0.7}), 3); got != 1000 {
		t.Errorf("with free slots %d of 1000 retries allowed", got)
	}
	if got := allowedRetries(newTestController(nil), 1); got != 1000 {
		t.Errorf("without known load %d of 1000 first retries allowed", got)
	}
	if got := allowedRetries(newTestController(nil), 3); got != 1000 {
		t.Errorf("without learned speeds %d of 1000 retries allowed", got)
	}
	c := newTestController(testPools{"engine": 3})
	failures := 0
	for range 100 {
		if c.AllowRetryAfterFailure("engine", start) {
			failures++
		}
	}
	if failures > retryBurst {
		t.Errorf("%d retries allowed after failures, without a new request", failures)
	}
}

func TestRefusalDescription(t *testing.T) {
	c := newTestController(testPools{"engine": 5})
	r := firstTurn("p")
	r.Rank, r.LimitUtilization = 2, 0.95
	line := DescribeRefusal(r, c.Admit(r, start))
	for _, part := range []string{"service engine", "5.00", "40 of 44", "200 ms", "first_turn", "rank 2", "0.95", "expected in"} {
		if !strings.Contains(line, part) {
			t.Errorf("%q does not contain %q", line, part)
		}
	}
	dump := c.Dump(start)
	if len(dump) != 1 || dump[0].Refused != 1 || dump[0].ReportingTargets != 40 {
		t.Errorf("dump %+v", dump)
	}
}

func TestLessUrgentProgramsAreRefusedMore(t *testing.T) {
	refused := func(rank int) int {
		c := newTestController(testPools{"engine": 1.45})
		for i := range 200 {
			r := firstTurn(strings.Repeat("q", i+1))
			r.Rank = i % 3
			c.Admit(r, start)
		}
		n := 0
		for i := range 200 {
			r := firstTurn(strings.Repeat("p", i+1))
			r.Rank = rank
			if !c.Admit(r, start).Admit {
				n++
			}
		}
		return n
	}
	urgent, normal, lessUrgent := refused(0), refused(1), refused(2)
	if urgent >= normal || normal >= lessUrgent {
		t.Errorf("refused of 200: urgent %d, normal %d, less urgent %d", urgent, normal, lessUrgent)
	}
	uniform := newTestController(testPools{"engine": 1.45})
	r := firstTurn("p")
	r.Rank = 7
	if got := uniform.Admit(r, start).RefusalProbability; got != policy.AdmitRequest(policy.AdmissionRequest{Class: policy.ClassFirstTurn}, uniform.services["engine"].poolLoad).RefusalProbability {
		t.Errorf("the refusal probability is %.2f, but a rank common to all must not change it", got)
	}
}

func TestLargeProgramsAreRefusedMore(t *testing.T) {
	pools := testPools{"engine": 0.5}
	c := newTestController(pools)
	turn := func(route string, class policy.AdmissionClass) {
		c.Admit(Request{Service: "engine", Program: "q", Route: route, Class: class}, start)
	}
	for range 20 {
		turn("big", policy.ClassFirstTurn)
		for range 30 {
			turn("big", policy.ClassInProgress)
		}
		turn("small", policy.ClassFirstTurn)
		turn("small", policy.ClassInProgress)
	}
	pools["engine"] = 1.5
	s := c.services["engine"]
	size := func(route string) float64 { return s.relativeSize(Request{Route: route}) }
	if size("big") < 1.5 || size("small") > 0.5 || size("new") != 0 {
		t.Errorf("sizes %.2f and %.2f, of a new route %.2f", size("big"), size("small"), size("new"))
	}
	refused := make(map[string]int)
	for i := range 20 {
		for _, route := range []string{"big", "small"} {
			r := firstTurn(strings.Repeat("p", i+1))
			r.Route = route
			if !c.Admit(r, start.Add(poolLoadTTL)).Admit {
				refused[route]++
			}
		}
	}
	if refused["big"] <= refused["small"] {
		t.Errorf("refused of 20 each: %v", refused)
	}
}
