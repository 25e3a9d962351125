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

var schedules = flag.Int("schedules", 60, "number of random schedules to run")

// regressions holds seeds that once failed, each with the cause.
var regressions = []uint64{}

func TestConversationsHoldOverRandomFaults(t *testing.T) {
	for _, seed := range regressions {
		t.Run(fmt.Sprint("regression ", seed), func(t *testing.T) { runSchedule(t, seed) })
	}
	for seed := range uint64(*schedules) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSchedule(t, seed) })
	}
}

// scheduleTime is the duration of a schedule's faults. Every slowEvery-th
// schedule lasts slowFactor times as long, so that turns expire meanwhile.
const (
	scheduleTime = 12 * time.Second
	slowFactor   = 20
	slowEvery    = 8
)

// runSchedule runs programs while instances are killed and partitioned and the
// store fails. Each lookup is checked; at the end all instances crash and a new
// one must find every turn within its retention.
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

// runPrograms runs consecutive programs until the end time. Some continue
// another program's turn, and some reference turns that do not exist. Pauses
// are multiplied by factor.
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
				c.lookUpUnknownTurn(r, simnet.Pick(r, nodes), program)
			}
			id, err := c.turn(simnet.Pick(r, nodes), program, previous, time.Duration(300+r.IntN(3000))*time.Millisecond)
			if err == nil {
				previous = id
			}
			time.Sleep(time.Duration(factor*r.IntN(300)) * time.Millisecond)
		}
	}
}

func (c *cluster) lookUpUnknownTurn(r *rand.Rand, n *node, program string) {
	_, err := c.lookUp(c.t.Context(), n, program, fmt.Sprintf("none%x", r.Uint64()))
	if !errors.Is(err, serve.ErrTurnNotFound) && !errors.Is(err, serve.ErrTurnUncertain) {
		c.t.Errorf("lookup of an unknown turn: got error %v, want ErrTurnNotFound or ErrTurnUncertain", err)
	}
}

// injectFault applies or clears a random fault of an instance or the store.
func (c *cluster) injectFault(r *rand.Rand) {
	nodes := c.running()
	if len(nodes) == 0 {
		return
	}
	n := simnet.Pick(r, nodes)
	switch r.IntN(17) {
	case 0, 1:
		c.Restart(n.Node)
	case 2:
		c.restartAll()
	case 3:
		cut := simnet.IsolateBoth
		if r.IntN(2) == 0 {
			cut = simnet.IsolateOutbound
		}
		c.IsolateFor(n.Node, cut, time.Duration(r.IntN(2500))*time.Millisecond)
	case 4, 5:
		n.StoreRefused.Store(true)
		refusedFor := time.Duration(r.IntN(4000)) * time.Millisecond
		c.Background.Go(func() {
			time.Sleep(refusedFor)
			n.StoreRefused.Store(false)
		})
	case 6:
		c.Store.Set(metastore.Fault{Unresponsive: true})
	case 7:
		c.Store.Set(metastore.Fault{DropResponse: true, ApplyDelay: time.Duration(r.IntN(3000)) * time.Millisecond})
	case 8:
		c.Store.Set(metastore.Fault{Status: 503})
	case 9:
		c.Store.Set(metastore.Fault{Delay: 240 * time.Millisecond})
	case 10:
		c.Store.Set(metastore.Fault{Status: 503, Partitions: []int{r.IntN(testPartitions), r.IntN(testPartitions)}})
	case 11:
		// Appends delay each other, which causes large batches.
		c.Store.Set(metastore.Fault{AppendTime: time.Duration(50+r.IntN(250)) * time.Millisecond})
	case 12:
		c.Store.Set(metastore.Fault{
			AppendTime: 120 * time.Millisecond, DropResponse: true, ApplyDelay: time.Duration(r.IntN(3000)) * time.Millisecond,
		})
	case 13:
		c.Store.DropHistory(topic, r.IntN(testPartitions))
	default:
		c.Store.Set(metastore.Fault{})
	}
}
