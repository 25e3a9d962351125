package allowance

import (
	"fmt"
	"github.com/banyanglade/banyanglade/internal/testkit/simnet"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanglade/banyanglade/internal/directory"
	"github.com/banyanglade/banyanglade/internal/org"
	"github.com/banyanglade/banyanglade/internal/serve"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// program is the load of agent programs: a first turn, then requests in series
// with some at once.
type program struct {
	requests int
	pause    time.Duration
}

// playPrograms begins programs of an organisation at a rate for a time, each at
// one instance, and returns how many began and how many got all their requests.
func playPrograms(w *world, name string, limit org.Limit, p program, perSecond float64, lasts time.Duration, seed uint64) (begun, whole int) {
	r := rand.New(rand.NewPCG(seed, 3))
	var work sync.WaitGroup
	var mu sync.Mutex
	for ends := time.Now().Add(lasts); time.Now().Before(ends); {
		time.Sleep(time.Duration(r.ExpFloat64() / perSecond * float64(time.Second)))
		n := simnet.Any(r, w.all())
		begun++
		id := fmt.Sprint("program", begun)
		work.Go(func() {
			for i := range p.requests {
				entry := serve.AllowanceRequest{Organisation: name, Limit: limit, Version: 1, First: i == 0, Program: id}
				if !w.enter(n, entry) {
					return
				}
				if i%3 == 0 {
					time.Sleep(p.pause)
				}
			}
			mu.Lock()
			whole++
			mu.Unlock()
		})
	}
	work.Wait()
	return begun, whole
}

// usersProgram is about what programs of the users' deployment are like.
var usersProgram = program{requests: 26, pause: 250 * time.Millisecond}

// carries is how many programs a limit carries in a time.
func carries(limit org.Limit, lasts time.Duration) int {
	return int((limit.PerSecond*lasts.Seconds() + limit.Burst) / float64(usersProgram.requests))
}

// TestBelowItsLimitAnOrganisationGetsAll replays organisations of the users' sizes
// at the usual load, 1/1.6 of their limits, at 87 instances.
func TestBelowItsLimitAnOrganisationGetsAll(t *testing.T) {
	for _, rate := range []float64{13, 60, 429} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t)
				for _, m := range machines(87) {
					w.start(m)
				}
				time.Sleep(3 * time.Second)
				limit := org.Limit{PerSecond: rate, Burst: rate}
				lasts := 10 * time.Second
				begun, whole := playPrograms(w, "o", limit, usersProgram, rate/1.6/26, lasts, 1)
				w.Stop()
				// A few programs that begin together pass a small limit.
				owed := min(begun, carries(limit, lasts))
				t.Logf("%d programs begun, %d whole; %d requests refused, %d unknown", begun, whole, w.refused, w.unknown)
				if whole < owed*95/100 {
					t.Errorf("%d of %d programs got all their requests, the limit carries %d", whole, begun, owed)
				}
				if w.unknown > 0 {
					t.Errorf("%d requests got no word", w.unknown)
				}
			})
		})
	}
}

// TestOverItsLimitAnOrganisationGetsWholePrograms replays an organisation at 7.5
// times its usual load.
func TestOverItsLimitAnOrganisationGetsWholePrograms(t *testing.T) {
	for _, rate := range []float64{13, 60, 429} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t)
				for _, m := range machines(87) {
					w.start(m)
				}
				time.Sleep(3 * time.Second)
				limit := org.Limit{PerSecond: rate, Burst: rate}
				lasts := 10 * time.Second
				begun, whole := playPrograms(w, "o", limit, usersProgram, rate/1.6/26*7.5, lasts, 1)
				w.Stop()
				carried := carries(limit, lasts)
				t.Logf("%d programs begun, %d whole, the limit carries %d; %d requests", begun, whole, carried, len(w.admitted["o"]))
				if whole < carried*9/10 {
					t.Errorf("%d programs got all their requests, the limit carries %d", whole, carried)
				}
				if got, most := most(w.admitted["o"], testTolerance.Window), allowed(limit, testTolerance); got > most {
					t.Errorf("%d requests in a window, %d are allowed", got, most)
				}
			})
		})
	}
}

// TestCoordinatorThatIsGoneForGoodIsReplaced replays the return of all instances
// but one, which all others still list.
func TestCoordinatorThatIsGoneForGoodIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		for _, m := range machines(30) {
			w.start(m)
		}
		time.Sleep(3 * time.Second)
		limit := org.Limit{PerSecond: 20, Burst: 20}
		some := w.all()[0]
		ranked := some.Directory.Ranked(some.keeper.Key(some.keeper.slotOf("o")))
		gone, next := ranked[0], directory.MachineOf(ranked[1])
		for _, n := range w.all() {
			if n.ID == gone {
				w.PowerOff(n.Node)
				continue
			}
			w.Kill(n.Node)
		}
		for _, m := range machines(30) {
			if m == directory.MachineOf(gone) {
				continue
			}
			w.start(m).Directory.Put(structs.Peer{ID: gone, Address: directory.MachineOf(gone)})
		}
		// The one that comes next has no callers of its own.
		asking := slices.DeleteFunc(w.all(), func(n *node) bool { return n.Machine() == next })
		admitted := 0
		for i := range 30 {
			time.Sleep(100 * time.Millisecond)
			if w.request(asking[i%len(asking)], "o", limit, 1, false) {
				admitted++
			}
		}
		w.Stop()
		if admitted < 15 {
			t.Errorf("%d of 30 requests in 3 s were let in", admitted)
		}
	})
}
