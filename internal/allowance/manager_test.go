package allowance

import (
	"fmt"
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
	"github.com/banyanglade/banyanglade/internal/testkit/simnet"
)

// program simulates an agent program: a first turn, then requests in series, some of
// them at once.
type program struct {
	requests int
	pause    time.Duration
}

// runPrograms starts programs of an organisation at a rate, each at one instance, and
// returns how many started and how many got all their requests.
func runPrograms(c *cluster, name string, limit org.Limit, p program, perSecond float64, duration time.Duration, seed uint64) (started, completed int) {
	r := rand.New(rand.NewPCG(seed, 3))
	var work sync.WaitGroup
	var mu sync.Mutex
	for deadline := time.Now().Add(duration); time.Now().Before(deadline); {
		time.Sleep(time.Duration(r.ExpFloat64() / perSecond * float64(time.Second)))
		n := simnet.Pick(r, c.all())
		started++
		id := fmt.Sprint("program", started)
		work.Go(func() {
			for i := range p.requests {
				request := serve.AllowanceRequest{Organisation: name, Limit: limit, Version: 1, First: i == 0, Program: id}
				if !c.admit(n, request) {
					return
				}
				if i%3 == 0 {
					time.Sleep(p.pause)
				}
			}
			mu.Lock()
			completed++
			mu.Unlock()
		})
	}
	work.Wait()
	return started, completed
}

// typicalProgram resembles the programs of a real deployment.
var typicalProgram = program{requests: 26, pause: 250 * time.Millisecond}

// programCapacity returns how many programs a limit carries in a time.
func programCapacity(limit org.Limit, duration time.Duration) int {
	return int((limit.PerSecond*duration.Seconds() + limit.Burst) / float64(typicalProgram.requests))
}

// At the typical load, 1/1.6 of the limit, an organisation gets all its requests.
func TestOrganisationBelowItsLimitIsAdmitted(t *testing.T) {
	for _, rate := range []float64{13, 60, 429} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				for _, m := range machines(87) {
					c.start(m)
				}
				time.Sleep(3 * time.Second)
				limit := org.Limit{PerSecond: rate, Burst: rate}
				duration := 10 * time.Second
				started, completed := runPrograms(c, "o", limit, typicalProgram, rate/1.6/26, duration, 1)
				c.Stop()
				// A few programs that start together exceed a small limit.
				expected := min(started, programCapacity(limit, duration))
				t.Logf("%d programs started, %d complete; %d requests refused, %d unknown", started, completed, c.refused, c.unknown)
				if completed < expected*95/100 {
					t.Errorf("%d of %d programs got all their requests, the limit carries %d", completed, started, expected)
				}
				if c.unknown > 0 {
					t.Errorf("%d requests got no decision", c.unknown)
				}
			})
		})
	}
}

// At 7.5 times the typical load, as many whole programs succeed as the limit carries.
func TestOrganisationOverItsLimitGetsWholePrograms(t *testing.T) {
	for _, rate := range []float64{13, 60, 429} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				for _, m := range machines(87) {
					c.start(m)
				}
				time.Sleep(3 * time.Second)
				limit := org.Limit{PerSecond: rate, Burst: rate}
				duration := 10 * time.Second
				started, completed := runPrograms(c, "o", limit, typicalProgram, rate/1.6/26*7.5, duration, 1)
				c.Stop()
				carried := programCapacity(limit, duration)
				t.Logf("%d programs started, %d complete, the limit carries %d; %d requests", started, completed, carried, len(c.admitted["o"]))
				if completed < carried*9/10 {
					t.Errorf("%d programs got all their requests, the limit carries %d", completed, carried)
				}
				if got, want := maxInWindow(c.admitted["o"], testTolerance.Window), allowed(limit, testTolerance); got > want {
					t.Errorf("%d requests in a window, want at most %d", got, want)
				}
			})
		})
	}
}

// The coordinator loses power; all other instances restart and still list it.
func TestCrashedCoordinatorIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		for _, m := range machines(30) {
			c.start(m)
		}
		time.Sleep(3 * time.Second)
		limit := org.Limit{PerSecond: 20, Burst: 20}
		some := c.all()[0]
		ranked := some.Directory.Ranked(some.manager.Key(some.manager.slotOf("o")))
		crashed, next := ranked[0], directory.MachineOf(ranked[1])
		for _, n := range c.all() {
			if n.ID == crashed {
				c.PowerOff(n.Node)
				continue
			}
			c.Kill(n.Node)
		}
		for _, m := range machines(30) {
			if m == directory.MachineOf(crashed) {
				continue
			}
			c.start(m).Directory.Put(structs.Peer{ID: crashed, Address: directory.MachineOf(crashed)})
		}
		// The next coordinator gets no requests of its own.
		callers := slices.DeleteFunc(c.all(), func(n *node) bool { return n.Machine() == next })
		admitted := 0
		for i := range 30 {
			time.Sleep(100 * time.Millisecond)
			if c.request(callers[i%len(callers)], "o", limit, 1, false) {
				admitted++
			}
		}
		c.Stop()
		if admitted < 15 {
			t.Errorf("%d of 30 requests in 3 s were admitted", admitted)
		}
	})
}
