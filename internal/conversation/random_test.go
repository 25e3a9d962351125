package conversation

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/serve"
	"github.com/banyanglade/banyanglade/internal/standin/metastore"
	"github.com/banyanglade/banyanglade/internal/testkit/simnet"
)

var schedules = flag.Int("schedules", 60, "random schedules to play")

// regressions are seeds that failed once, with the cause.
var regressions = []uint64{}

func TestConversationsHoldOverRandomFaults(t *testing.T) {
	for _, seed := range regressions {
		t.Run(fmt.Sprint("regression ", seed), func(t *testing.T) { runSchedule(t, seed) })
	}
	for seed := range uint64(*schedules) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSchedule(t, seed) })
	}
}

// scheduleTime is how long a schedule's faults go on, slowFactor times as long
// in slow schedules: turns are then dropped after their retention meanwhile.
const (
	scheduleTime = 12 * time.Second
	slowFactor   = 20
	slowEvery    = 8
)

// runSchedule lets programs talk at instances that are killed and cut off, with
// a store that fails in all its ways. What an instance says of a turn that ended
// is checked each time it is asked; at the end all turns are asked for once
// more, after the loss of everything.
func runSchedule(t *testing.T, seed uint64) {
	runCluster(t, 4, func(t *testing.T, c *cluster) {
		r := rand.New(rand.NewPCG(seed, 1))
		factor := 1
		if seed%slowEvery == 0 {
			factor = slowFactor
		}
		var work sync.WaitGroup
		ends := time.Now().Add(time.Duration(factor) * scheduleTime)
		for i := range 10 {
			callerSeed := seed*100 + uint64(i)
			work.Go(func() { c.runPrograms(callerSeed, ends, factor) })
		}
		for time.Now().Before(ends) {
			time.Sleep(time.Duration(factor*r.IntN(700)) * time.Millisecond)
			c.injectFault(r)
		}
		c.Store.Set(metastore.Fault{})
		work.Wait()
		for _, n := range c.running() {
			c.Kill(n.Node)
		}
		fresh := c.start("z")
		for id, turn := range c.ended {
			if time.Since(turn.at) < testRetention {
				c.mustLookUp(fresh, turn.program, id)
			}
		}
	})
}

// runPrograms runs programs one after the other until the time is up. Some
// continue another program's turn, some name turns that do not exist. Pauses are
// longer by a factor.
func (c *cluster) runPrograms(seed uint64, ends time.Time, factor int) {
	r := rand.New(rand.NewPCG(seed, 2))
	for n := 0; time.Now().Before(ends); n++ {
		program := fmt.Sprint("p", seed, "-", n)
		previous := ""
		if r.IntN(4) == 0 {
			previous = c.randomEndedTurn(r)
		}
		for range 1 + r.IntN(6) {
			nodes := c.running()
			if len(nodes) == 0 {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			if r.IntN(12) == 0 {
				c.lookUpUnknownTurn(r, simnet.Any(r, nodes), program)
			}
			id, err := c.turn(simnet.Any(r, nodes), program, previous, time.Duration(300+r.IntN(3000))*time.Millisecond)
			if err == nil {
				previous = id
			}
			time.Sleep(time.Duration(factor*r.IntN(300)) * time.Millisecond)
		}
	}
}

// lookUpUnknownTurn asks for a turn that does not exist.
func (c *cluster) lookUpUnknownTurn(r *rand.Rand, n *node, program string) {
	_, err := c.lookUp(c.t.Context(), n, program, fmt.Sprintf("none%x", r.Uint64()))
	if !errors.Is(err, serve.ErrNoTurn) && !errors.Is(err, serve.ErrUncertain) {
		c.t.Errorf("a turn that does not exist: %v", err)
	}
}

// injectFault does one thing to the instances or the store.
func (c *cluster) injectFault(r *rand.Rand) {
	nodes := c.running()
	if len(nodes) == 0 {
		return
	}
	n := simnet.Any(r, nodes)
	switch r.IntN(17) {
	case 0, 1:
		c.Restart(n.Node)
	case 2:
		c.restartAll()
	case 3:
		cut := simnet.Both
		if r.IntN(2) == 0 {
			cut = simnet.Mute
		}
		c.CutFor(n.Node, cut, time.Duration(r.IntN(2500))*time.Millisecond)
	case 4, 5:
		n.Refused.Store(true)
		refusedFor := time.Duration(r.IntN(4000)) * time.Millisecond
		c.Work.Go(func() {
			time.Sleep(refusedFor)
			n.Refused.Store(false)
		})
	case 6:
		c.Store.Set(metastore.Fault{Silent: true})
	case 7:
		c.Store.Set(metastore.Fault{LoseAnswer: true, Late: time.Duration(r.IntN(3000)) * time.Millisecond})
	case 8:
		c.Store.Set(metastore.Fault{Status: 503})
	case 9:
		c.Store.Set(metastore.Fault{Delay: 240 * time.Millisecond})
	case 10:
		c.Store.Set(metastore.Fault{Status: 503, Partitions: []int{r.IntN(testPartitions), r.IntN(testPartitions)}})
	case 11:
		// Appends come in each other's way, so that many go into one.
		c.Store.Set(metastore.Fault{AppendTime: time.Duration(50+r.IntN(250)) * time.Millisecond})
	case 12:
		c.Store.Set(metastore.Fault{
			AppendTime: 120 * time.Millisecond, LoseAnswer: true, Late: time.Duration(r.IntN(3000)) * time.Millisecond,
		})
	case 13:
		c.Store.DropHistory(topic, r.IntN(testPartitions))
	default:
		c.Store.Set(metastore.Fault{})
	}
}
