package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Workload generates the programs of a run.
type Workload struct {
	Name string
	// Kinds are the kinds of programs. They arrive independently.
	Kinds []Kind
	// SlowEngineFactor is the slowdown factor of the first engine in the middle
	// third of the run, 0 for none.
	SlowEngineFactor int
	// FailingEngine makes the first engine refuse every call in the middle third
	// of the run.
	FailingEngine bool
}

// Kind describes programs with the same distributions.
type Kind struct {
	Team     structs.Team
	Priority int
	Weight   float64
	// ArrivalRate is the number of programs per second.
	ArrivalRate float64
	// BurstRate is added to ArrivalRate in the middle fifth of the run.
	BurstRate float64
	Deadline  time.Duration
	// MinTurns and MaxTurns bound the number of turns. It is Pareto distributed
	// with shape TurnsShape, or uniform if TurnsShape is 0.
	MinTurns, MaxTurns int
	TurnsShape         float64
	// SharedTokens is the length of the system message. FirstTokens (added to
	// the first input), InputTokens and OutputTokens are medians of log-normal
	// distributions.
	SharedTokens, FirstTokens, InputTokens, OutputTokens int
	// Pause is the median pause.
	Pause time.Duration
	// AgentProbability is the probability that a turn starts sub-agents.
	AgentProbability float64
	// AbandonProbability and LoopProbability are the probabilities that a
	// program is abandoned or loops.
	AbandonProbability, LoopProbability float64
	// Teams is the number of teams below Team over which the programs are
	// spread, if more than 1. Lower-numbered teams get more programs.
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

// Generate returns the programs of a run in order of arrival. It is
// deterministic.
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
		rate := k.ArrivalRate * o.LoadFactor
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
		ID: structs.ProgramID(id), Team: k.team(random), Arrival: at, SharedTokens: k.SharedTokens,
		Priority: k.Priority, Weight: max(k.Weight, 1), Deadline: k.Deadline, CallTimeout: k.CallTimeout,
		Abandoned: random.Float64() < k.AbandonProbability, Looping: random.Float64() < k.LoopProbability,
	}
	turns := k.turns(random)
	if p.Abandoned {
		turns = 1 + random.IntN(turns)
	}
	if p.Looping {
		turns = loopTurns
	}
	p.Chain = k.chain(random, turns, k.AgentProbability)
	p.Chain[0].InputTokens += logNormal(random, k.FirstTokens, sigmaTokens)
	return p
}

func (k Kind) team(random *rand.Rand) structs.Team {
	if k.Teams <= 1 {
		return k.Team
	}
	index := min(random.IntN(k.Teams), random.IntN(k.Teams))
	return k.Team + structs.Team(fmt.Sprintf("/t%d", index))
}

// turns picks the number of turns, Pareto distributed if TurnsShape is set and
// uniform otherwise.
func (k Kind) turns(random *rand.Rand) int {
	if k.TurnsShape == 0 {
		return k.MinTurns + random.IntN(k.MaxTurns-k.MinTurns+1)
	}
	turns := float64(k.MinTurns) / math.Pow(1-random.Float64(), 1/k.TurnsShape)
	return min(k.MaxTurns, int(turns))
}

func (k Kind) chain(random *rand.Rand, turns int, agents float64) Chain {
	chain := make(Chain, turns)
	for i := range chain {
		chain[i] = Step{
			InputTokens:  logNormal(random, k.InputTokens, sigmaTokens),
			OutputTokens: logNormal(random, k.OutputTokens, sigmaTokens),
			Pause:        time.Duration(logNormal(random, int(k.Pause/time.Microsecond), sigmaPause)) * time.Microsecond,
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

// Workloads returns all workloads.
func Workloads() []Workload {
	clearance := Kind{
		Team: "clearance", Priority: 0, ArrivalRate: 5.3, Deadline: 20 * time.Second,
		MinTurns: 2, MaxTurns: 40, TurnsShape: 1.5,
		SharedTokens: 2000, FirstTokens: 1000, InputTokens: 400, OutputTokens: 80, Pause: 400 * time.Millisecond, AgentProbability: 0.1,
	}
	status := Kind{
		Team: "status", Priority: 5, ArrivalRate: 10.6, Deadline: 30 * time.Second,
		MinTurns: 2, MaxTurns: 60, TurnsShape: 1.3,
		SharedTokens: 2000, FirstTokens: 800, InputTokens: 500, OutputTokens: 60, Pause: 400 * time.Millisecond, AgentProbability: 0.05,
	}
	return []Workload{
		{Name: "chains", Kinds: []Kind{clearance, status}},
		{Name: "busy", Kinds: busyKinds(clearance, status)},
		{Name: "long-answers", Kinds: longAnswerKinds(clearance, status)},
		{Name: "tight-cache", Kinds: tightCacheKinds(clearance, status)},
		{Name: "filing-week", Kinds: burstKinds(clearance, status)},
		{Name: "shared-prefixes", Kinds: sharedPrefixKinds(clearance, status)},
		{Name: "dying", Kinds: abandonedKinds(clearance, status)},
		{Name: "survey", Kinds: surveyKinds()},
		{Name: "greedy-team", Kinds: greedyTeamKinds(status)},
		{Name: "slow-runner", Kinds: []Kind{clearance, status}, SlowEngineFactor: 10},
		{Name: "failing-runner", Kinds: []Kind{clearance, status}, FailingEngine: true},
		{Name: "overload", Kinds: overloadKinds(clearance, status)},
	}
}

// busyKinds exceeds the load that the baseline can serve in time.
func busyKinds(clearance, status Kind) []Kind {
	clearance.ArrivalRate, status.ArrivalRate = 11, 22
	return []Kind{clearance, status}
}

// longAnswerKinds is bound by the slots of the engines. Most of the work is
// decoding, so that cached prefixes help little.
func longAnswerKinds(clearance, status Kind) []Kind {
	for _, kind := range []*Kind{&clearance, &status} {
		kind.OutputTokens, kind.InputTokens, kind.FirstTokens, kind.SharedTokens = 300, 100, 300, 500
	}
	clearance.ArrivalRate, status.ArrivalRate = 5.6, 11.2
	return []Kind{clearance, status}
}

// tightCacheKinds has more context in total than the engines can cache.
func tightCacheKinds(clearance, status Kind) []Kind {
	for _, kind := range []*Kind{&clearance, &status} {
		kind.FirstTokens, kind.InputTokens, kind.Pause = 6000, 1000, 3*time.Second
	}
	clearance.ArrivalRate, status.ArrivalRate = 3.5, 7
	return []Kind{clearance, status}
}

// burstKinds has a burst of clearance searches and short status lookups of
// lower priority.
func burstKinds(clearance, status Kind) []Kind {
	clearance.ArrivalRate, clearance.BurstRate = 5, 20
	status.ArrivalRate, status.MaxTurns, status.TurnsShape = 25, 4, 0
	status.MinTurns = 1
	return []Kind{clearance, status}
}

// sharedPrefixKinds has many teams with long system messages.
func sharedPrefixKinds(clearance, status Kind) []Kind {
	clearance.ArrivalRate, status.ArrivalRate = 4.2, 8.4
	clearance.Teams, clearance.SharedTokens = 8, 6000
	status.Teams, status.SharedTokens = 16, 6000
	return []Kind{clearance, status}
}

// abandonedKinds has programs that are never closed, and loops.
func abandonedKinds(clearance, status Kind) []Kind {
	clearance.ArrivalRate, status.ArrivalRate = 6, 12
	clearance.AbandonProbability, clearance.LoopProbability = 0.15, 0.05
	status.AbandonProbability, status.LoopProbability = 0.25, 0.05
	return []Kind{clearance, status}
}

// greedyTeamKinds has one team that demands far more than its fair share next to
// one that does not, with the same priority and weight, in a burst that exceeds
// the capacity.
func greedyTeamKinds(status Kind) []Kind {
	modest, greedy := status, status
	modest.Team, modest.ArrivalRate = "modest", 7
	greedy.Team, greedy.ArrivalRate, greedy.BurstRate = "greedy", 14, 110
	return []Kind{modest, greedy}
}

// surveyKinds has short programs of high priority and long ones of low
// priority.
func surveyKinds() []Kind {
	return []Kind{
		{
			Team: "cliff", Priority: 0, ArrivalRate: 14, Deadline: 5 * time.Second,
			MinTurns: 1, MaxTurns: 4, SharedTokens: 1500, FirstTokens: 800, InputTokens: 300, OutputTokens: 50,
			Pause: 300 * time.Millisecond,
		},
		{
			Team: "bank", Priority: 5, ArrivalRate: 1.6, Deadline: 2 * time.Minute,
			MinTurns: 12, MaxTurns: 60, TurnsShape: 1.8, SharedTokens: 3000, FirstTokens: 3000, InputTokens: 700, OutputTokens: 150,
			Pause: time.Second, AgentProbability: 0.1, AbandonProbability: 0.05,
		},
	}
}

// overloadKinds exceeds the capacity of the engines, with short call timeouts.
func overloadKinds(clearance, status Kind) []Kind {
	clearance.ArrivalRate, status.ArrivalRate = 25, 100
	clearance.CallTimeout, status.CallTimeout = 10*time.Second, 10*time.Second
	return []Kind{clearance, status}
}
