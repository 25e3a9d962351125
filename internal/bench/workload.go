package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Workload makes the programs of a run.
type Workload struct {
	Name string
	// Kinds of programs arrive independently.
	Kinds []Kind
	// SlowRunner slows the first engine by this factor, 0 for none, in the
	// middle third of the run.
	SlowRunner int
	// FailingRunner makes the first engine refuse every call at once in the
	// middle third of the run.
	FailingRunner bool
}

// Kind is a kind of programs with the same distributions.
type Kind struct {
	Team     structs.Team
	Priority int
	Weight   float64
	// Rate is the number of programs a second.
	Rate float64
	// BurstRate is added in the burst, the middle fifth of the run.
	BurstRate float64
	Deadline  time.Duration
	// Turns is the least number of turns; TurnsTail is the shape of its
	// Pareto tail and TurnsMax the most.
	Turns, TurnsMax int
	TurnsTail       float64
	// Shared, First, Input and Output are token counts; the last three are
	// medians of log-normal distributions.
	Shared, First, Input, Output int
	// Pause is the median pause.
	Pause time.Duration
	// Agents is the chance that a turn starts sub-agents.
	Agents float64
	// Dying and Looping are the chances that a program never returns from a
	// pause, or loops.
	Dying, Looping float64
	// Teams spreads the programs over that many teams below Team, if more
	// than 1, the first ones more often.
	Teams       int
	CallTimeout time.Duration
}

const (
	// loopTurns is the number of turns after which the loop check closes a
	// looping program.
	loopTurns = 8
	// sigmaTokens and sigmaPause are the widths of the log-normal
	// distributions.
	sigmaTokens = 0.7
	sigmaPause  = 0.8
)

// Generate makes the programs of a run, ordered by arrival.
func (w Workload) Generate(o Options, seed uint64) []*Program {
	var programs []*Program
	for i, kind := range w.Kinds {
		random := rand.New(rand.NewPCG(seed, uint64(i)+1))
		programs = append(programs, kind.generate(o, random, i)...)
	}
	sort.SliceStable(programs, func(i, j int) bool { return programs[i].Arrival < programs[j].Arrival })
	return programs
}

func (k Kind) generate(o Options, random *rand.Rand, kind int) []*Program {
	var programs []*Program
	at := time.Duration(0)
	for {
		rate := k.Rate * o.LoadFactor
		if at > 2*o.Duration/5 && at < 3*o.Duration/5 {
			rate += k.BurstRate * o.LoadFactor
		}
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at > o.Duration {
			return programs
		}
		programs = append(programs, k.program(random, at, fmt.Sprintf("k%d-%d", kind, len(programs))))
	}
}

func (k Kind) program(random *rand.Rand, at time.Duration, id string) *Program {
	p := &Program{
		ID: structs.ProgramID(id), Team: k.team(random), Arrival: at, Shared: k.Shared,
		Priority: k.Priority, Weight: max(k.Weight, 1), Deadline: k.Deadline, CallTimeout: k.CallTimeout,
		Dies: random.Float64() < k.Dying, Loops: random.Float64() < k.Looping,
	}
	turns := k.turns(random)
	if p.Dies {
		turns = 1 + random.IntN(turns)
	}
	if p.Loops {
		turns = loopTurns
	}
	p.Chain = k.chain(random, turns, k.Agents)
	p.Chain[0].Input += logNormal(random, k.First, sigmaTokens)
	return p
}

func (k Kind) team(random *rand.Rand) structs.Team {
	if k.Teams <= 1 {
		return k.Team
	}
	index := min(random.IntN(k.Teams), random.IntN(k.Teams))
	return k.Team + structs.Team(fmt.Sprintf("/t%d", index))
}

// turns draws the number of turns, with a Pareto tail.
func (k Kind) turns(random *rand.Rand) int {
	if k.TurnsTail == 0 {
		return k.Turns + random.IntN(k.TurnsMax-k.Turns+1)
	}
	drawn := float64(k.Turns) / math.Pow(1-random.Float64(), 1/k.TurnsTail)
	return min(k.TurnsMax, int(drawn))
}

func (k Kind) chain(random *rand.Rand, turns int, agents float64) Chain {
	chain := make(Chain, turns)
	for i := range chain {
		chain[i] = Step{
			Input:  logNormal(random, k.Input, sigmaTokens),
			Output: logNormal(random, k.Output, sigmaTokens),
			Pause:  time.Duration(logNormal(random, int(k.Pause/time.Microsecond), sigmaPause)) * time.Microsecond,
		}
		if random.Float64() < agents {
			for range 2 + random.IntN(2) {
				chain[i].Agents = append(chain[i].Agents, k.chain(random, 1+random.IntN(3), 0))
			}
		}
	}
	return chain
}

func logNormal(random *rand.Rand, median int, sigma float64) int {
	return max(1, int(float64(median)*math.Exp(sigma*random.NormFloat64())))
}

// Workloads lists the workloads of the reported figures.
func Workloads() []Workload {
	clearance := Kind{
		Team: "clearance", Priority: 0, Rate: 5.3, Deadline: 20 * time.Second,
		Turns: 2, TurnsMax: 40, TurnsTail: 1.5,
		Shared: 2000, First: 1000, Input: 400, Output: 80, Pause: 400 * time.Millisecond, Agents: 0.1,
	}
	status := Kind{
		Team: "status", Priority: 5, Rate: 10.6, Deadline: 30 * time.Second,
		Turns: 2, TurnsMax: 60, TurnsTail: 1.3,
		Shared: 2000, First: 800, Input: 500, Output: 60, Pause: 400 * time.Millisecond, Agents: 0.05,
	}
	return []Workload{
		{Name: "chains", Kinds: []Kind{clearance, status}},
		{Name: "busy", Kinds: busy(clearance, status)},
		{Name: "long-answers", Kinds: longAnswers(clearance, status)},
		{Name: "tight-cache", Kinds: tightCache(clearance, status)},
		{Name: "filing-week", Kinds: filingWeek(clearance, status)},
		{Name: "shared-prefixes", Kinds: sharedPrefixes(clearance, status)},
		{Name: "dying", Kinds: dying(clearance, status)},
		{Name: "survey", Kinds: survey()},
		{Name: "greedy-team", Kinds: greedyTeam(status)},
		{Name: "slow-runner", Kinds: []Kind{clearance, status}, SlowRunner: 10},
		{Name: "failing-runner", Kinds: []Kind{clearance, status}, FailingRunner: true},
		{Name: "overload", Kinds: overload(clearance, status)},
	}
}

// busy is more than the baseline can serve in time.
func busy(clearance, status Kind) []Kind {
	clearance.Rate, status.Rate = 11, 22
	return []Kind{clearance, status}
}

// longAnswers is bound by the slots of the engines: decoding is most of the
// work, so that cached prefixes help little.
func longAnswers(clearance, status Kind) []Kind {
	for _, kind := range []*Kind{&clearance, &status} {
		kind.Output, kind.Input, kind.First, kind.Shared = 300, 100, 300, 500
	}
	clearance.Rate, status.Rate = 5.6, 11.2
	return []Kind{clearance, status}
}

// tightCache has contexts that the engines' caches cannot hold all at once.
func tightCache(clearance, status Kind) []Kind {
	for _, kind := range []*Kind{&clearance, &status} {
		kind.First, kind.Input, kind.Pause = 6000, 1000, 3*time.Second
	}
	clearance.Rate, status.Rate = 3.5, 7
	return []Kind{clearance, status}
}

// filingWeek is a burst of clearance searches with short status lookups
// behind.
func filingWeek(clearance, status Kind) []Kind {
	clearance.Rate, clearance.BurstRate = 5, 20
	status.Rate, status.TurnsMax, status.TurnsTail = 25, 4, 0
	status.Turns = 1
	return []Kind{clearance, status}
}

// sharedPrefixes has many teams with long system messages.
func sharedPrefixes(clearance, status Kind) []Kind {
	clearance.Rate, status.Rate = 4.2, 8.4
	clearance.Teams, clearance.Shared = 8, 6000
	status.Teams, status.Shared = 16, 6000
	return []Kind{clearance, status}
}

// dying has programs that never return from a pause, and loops.
func dying(clearance, status Kind) []Kind {
	clearance.Rate, status.Rate = 6, 12
	clearance.Dying, clearance.Looping = 0.15, 0.05
	status.Dying, status.Looping = 0.25, 0.05
	return []Kind{clearance, status}
}

// greedyTeam is one team that asks for far more than its share beside one that
// does not, of the same class and weight, in a burst that is too much for all.
func greedyTeam(status Kind) []Kind {
	modest, greedy := status, status
	modest.Team, modest.Rate = "modest", 7
	greedy.Team, greedy.Rate, greedy.BurstRate = "greedy", 14, 110
	return []Kind{modest, greedy}
}

// survey is quick checks from the boat before long reviews.
func survey() []Kind {
	return []Kind{
		{
			Team: "cliff", Priority: 0, Rate: 14, Deadline: 5 * time.Second,
			Turns: 1, TurnsMax: 4, Shared: 1500, First: 800, Input: 300, Output: 50,
			Pause: 300 * time.Millisecond,
		},
		{
			Team: "bank", Priority: 5, Rate: 1.6, Deadline: 2 * time.Minute,
			Turns: 12, TurnsMax: 60, TurnsTail: 1.8, Shared: 3000, First: 3000, Input: 700, Output: 150,
			Pause: time.Second, Agents: 0.1, Dying: 0.05,
		},
	}
}

// overload is more than the engines can do, with short call timeouts.
func overload(clearance, status Kind) []Kind {
	clearance.Rate, status.Rate = 25, 100
	clearance.CallTimeout, status.CallTimeout = 10*time.Second, 10*time.Second
	return []Kind{clearance, status}
}
