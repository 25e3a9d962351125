package overload

import (
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/policy"
	"github.com/banyanglade/banyanglade/internal/targets"
)

// fills are pools of 44 targets, by service.
type fills map[string]float64

func (f fills) Pool(service string, _ time.Time) targets.Pool {
	fill, ok := f[service]
	if !ok {
		return targets.Pool{}
	}
	return targets.Pool{Utilization: fill, Reporting: 40, Usable: 44, ReportAge: 200 * time.Millisecond, SpeedsLearned: true}
}

var start = time.Unix(1000, 0)

func guard(f fills) *Guard {
	g := New(f, tally.NoopScope)
	g.jitter = func() float64 { return 0.5 }
	return g
}

func first(program string) Request {
	return Request{Service: "engine", Program: program, Class: policy.ClassFirstTurn}
}

func TestEachInstanceDecidesTheSameOfAProgram(t *testing.T) {
	a, b := guard(fills{"engine": 1.5}), guard(fills{"engine": 1.5})
	refused := 0
	for i := range 200 {
		r := first(strings.Repeat("p", i+1))
		here, there := a.Admit(r, start), b.Admit(r, start)
		again := a.Admit(r, start)
		if here.Admit != there.Admit || here.Admit != again.Admit {
			t.Fatalf("program %d: %+v and %+v, again %+v", i, here, there, again)
		}
		if !here.Admit {
			refused++
		}
	}
	if refused < 50 || refused > 150 {
		t.Errorf("%d of 200 refused", refused)
	}
}

func TestAFirstTurnNeedsThePoolsThatProgramsCall(t *testing.T) {
	g := guard(fills{"engine": 0.5, "tool": 9})
	if v := g.Admit(first("p"), start); !v.Admit {
		t.Fatalf("before any call: %+v", v)
	}
	g.Admit(Request{Service: "tool", Program: "q", IsCall: true, Class: policy.ClassInProgress}, start)
	refused := 0
	for i := range 20 {
		v := g.Admit(first(strings.Repeat("p", i+1)), start)
		if !v.Admit && v.Pool.Service == "tool" {
			refused++
		}
	}
	if refused < 15 {
		t.Errorf("%d of 20 refused though calls find no room", refused)
	}
	if v := g.Admit(first("p"), start.Add(usedFor)); !v.Admit {
		t.Errorf("long after the last call: %+v", v)
	}
}

func TestFurtherSendsAreABoundedShare(t *testing.T) {
	again := func(g *Guard, refusals int) int {
		allowed := 0
		for range 1000 {
			g.Admit(Request{Service: "engine", Class: policy.ClassInProgress, Program: "p"}, start)
			if g.AllowRetry("engine", refusals, start) {
				allowed++
			}
		}
		return allowed
	}
	if got := again(guard(fills{"engine": 3}), 1); got < 150 || got > 220 {
		t.Errorf("where no slot is free %d of 1000 are sent again", got)
	}
	if got := again(guard(fills{"engine": 0.7}), 3); got != 1000 {
		t.Errorf("where slots are free %d of 1000 are sent again", got)
	}
	if got := again(guard(nil), 1); got != 1000 {
		t.Errorf("where nothing is known %d of 1000 are sent again once", got)
	}
	if got := again(guard(nil), 3); got != 1000 {
		t.Errorf("where no speeds are learned %d of 1000 are sent again", got)
	}
	g := guard(fills{"engine": 3})
	failures := 0
	for range 100 {
		if g.AllowRetryAfterFailure("engine", start) {
			failures++
		}
	}
	if failures > retryBurst {
		t.Errorf("%d sends after failures without a fresh request", failures)
	}
}

func TestARefusalNamesWhatItComesFrom(t *testing.T) {
	g := guard(fills{"engine": 5})
	r := first("p")
	r.Rank, r.Usage = 2, 0.95
	line := DescribeRefusal(r, g.Admit(r, start))
	for _, part := range []string{"service engine", "5.00", "40 of 44", "200 ms", "first_turn", "rank 2", "0.95", "expected in"} {
		if !strings.Contains(line, part) {
			t.Errorf("%q lacks %q", line, part)
		}
	}
	dump := g.Dump(start)
	if len(dump) != 1 || dump[0].Refused != 1 || dump[0].Known != 40 {
		t.Errorf("dump %+v", dump)
	}
}

func TestLessUrgentProgramsAreRefusedMore(t *testing.T) {
	refused := func(rank int) int {
		g := guard(fills{"engine": 1.45})
		for i := range 200 {
			r := first(strings.Repeat("q", i+1))
			r.Rank = i % 3
			g.Admit(r, start)
		}
		n := 0
		for i := range 200 {
			r := first(strings.Repeat("p", i+1))
			r.Rank = rank
			if !g.Admit(r, start).Admit {
				n++
			}
		}
		return n
	}
	urgent, mean, less := refused(0), refused(1), refused(2)
	if urgent >= mean || mean >= less {
		t.Errorf("of 200 refused: urgent %d, mean %d, less urgent %d", urgent, mean, less)
	}
	same := guard(fills{"engine": 1.45})
	r := first("p")
	r.Rank = 7
	if got := same.Admit(r, start).RefusalProbability; got != policy.AdmitRequest(policy.AdmissionRequest{Class: policy.ClassFirstTurn}, same.services["engine"].view).RefusalProbability {
		t.Errorf("a rank that all have changes the chance to %.2f", got)
	}
}

func TestBigProgramsAreRefusedMore(t *testing.T) {
	pools := fills{"engine": 0.5}
	g := guard(pools)
	turn := func(route string, class policy.AdmissionClass) {
		g.Admit(Request{Service: "engine", Program: "q", Route: route, Class: class}, start)
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
	s := g.services["engine"]
	size := func(route string) float64 { return s.size(Request{Route: route}) }
	if size("big") < 1.5 || size("small") > 0.5 || size("new") != 0 {
		t.Errorf("sizes %.2f and %.2f, of a new route %.2f", size("big"), size("small"), size("new"))
	}
	refused := make(map[string]int)
	for i := range 20 {
		for _, route := range []string{"big", "small"} {
			r := first(strings.Repeat("p", i+1))
			r.Route = route
			if !g.Admit(r, start.Add(viewAge)).Admit {
				refused[route]++
			}
		}
	}
	if refused["big"] <= refused["small"] {
		t.Errorf("of 20 each refused: %v", refused)
	}
}
