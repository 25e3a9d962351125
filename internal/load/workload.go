package load

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// StepKind is the kind of service that a step calls.
type StepKind string

// Kinds of steps.
const (
	StepChat   StepKind = "chat"
	StepTool   StepKind = "tool"
	StepFiling StepKind = "filing"
)

// Step is one call of a lane, with the sub-agents and the pause after it.
type Step struct {
	Kind StepKind
	// InputTokens is the number of new prompt tokens of a chat, OutputTokens
	// the length of its response.
	InputTokens, OutputTokens int
	// RunTime is the execution time of a tool or filing call at its target.
	RunTime time.Duration
	// Agents are the steps of sub-agents that run concurrently after the call,
	// each in its own lane. The next step waits for all of them.
	Agents [][]Step
	// Pause is the delay before the next step of the lane.
	Pause time.Duration
}

// Program is one synthetic program.
type Program struct {
	Class   string
	Arrival time.Duration
	Steps   []Step
	// Abandoned reports whether the caller never closes the program, as after
	// a crash.
	Abandoned bool
	// Seed seeds the choice of instances.
	Seed uint64
}

// Calls returns the number of calls of the program, sub-agents included.
func (p *Program) Calls() int { return countCalls(p.Steps) }

func countCalls(steps []Step) int {
	calls := len(steps)
	for _, step := range steps {
		for _, agent := range step.Agents {
			calls += countCalls(agent)
		}
	}
	return calls
}

// Class describes programs with the same distributions.
type Class struct {
	Name     string
	Priority int
	// ArrivalRate is the number of programs that arrive per second.
	ArrivalRate float64
	// MinTurns and MaxTurns bound the number of chats of a program, which is
	// Pareto distributed with shape TurnsShape.
	MinTurns, MaxTurns int
	TurnsShape         float64
	// SharedTokens is the length of the system message, in tokens.
	SharedTokens int
	// InputTokens, OutputTokens and Pause are medians of log-normal distributions.
	InputTokens, OutputTokens int
	Pause                     time.Duration
	// ToolProbability, FilingProbability and AgentProbability apply after each
	// chat: to a tool call, a filing call, and sub-agents.
	// AbandonProbability is that of a program that is never closed.
	ToolProbability, FilingProbability, AgentProbability, AbandonProbability float64
}

// Names of the classes of the default workload. Each is also the path of a
// team below testkit.TeamPath.
const (
	ClassClearance = "clearance"
	ClassStatus    = "status"
)

// Widths of the log-normal distributions, the range of run times of service
// calls, and limits on the number and turns of sub-agents.
const (
	sigmaTokens  = 0.6
	sigmaPause   = 0.6
	minRunTime   = 10 * time.Millisecond
	runTimeRange = 40 * time.Millisecond
	maxAgents    = 3
	agentTurns   = 2
)

// DefaultClasses returns the classes of the default workload, clearance
// searches with priority over status lookups, with the arrival rates multiplied
// by factor.
func DefaultClasses(factor float64) []Class {
	return []Class{
		{
			Name: ClassClearance, Priority: 0, ArrivalRate: 1.2 * factor,
			MinTurns: 2, MaxTurns: 12, TurnsShape: 1.5, SharedTokens: 400,
			InputTokens: 120, OutputTokens: 40, Pause: 150 * time.Millisecond,
			ToolProbability: 0.3, FilingProbability: 0.15, AgentProbability: 0.1, AbandonProbability: 0.05,
		},
		{
			Name: ClassStatus, Priority: 5, ArrivalRate: 2.4 * factor,
			MinTurns: 1, MaxTurns: 12, TurnsShape: 1.3, SharedTokens: 300,
			InputTokens: 100, OutputTokens: 30, Pause: 150 * time.Millisecond,
			ToolProbability: 0.2, AgentProbability: 0.05, AbandonProbability: 0.1,
		},
	}
}

// Generate returns the programs that arrive within a duration, in order of
// arrival. It is deterministic.
func Generate(classes []Class, duration time.Duration, seed uint64) []*Program {
	var programs []*Program
	for i, class := range classes {
		random := rand.New(rand.NewPCG(seed, uint64(i)+1))
		programs = append(programs, class.generate(duration, random)...)
	}
	sort.SliceStable(programs, func(i, j int) bool { return programs[i].Arrival < programs[j].Arrival })
	return programs
}

func (c Class) generate(duration time.Duration, random *rand.Rand) []*Program {
	var programs []*Program
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / c.ArrivalRate * float64(time.Second))
		if at >= duration {
			return programs
		}
		p := &Program{Class: c.Name, Arrival: at, Seed: random.Uint64()}
		p.Abandoned = random.Float64() < c.AbandonProbability
		p.Steps = c.steps(random, c.turns(random), true)
		programs = append(programs, p)
	}
}

func (c Class) turns(random *rand.Rand) int {
	turns := float64(c.MinTurns) / math.Pow(1-random.Float64(), 1/c.TurnsShape)
	return min(c.MaxTurns, int(turns))
}

// steps generates the steps of a lane. Only the top-level lane has sub-agents
// and filings.
func (c Class) steps(random *rand.Rand, turns int, topLevel bool) []Step {
	var steps []Step
	for range turns {
		steps = append(steps, c.chat(random, topLevel))
		switch sample := random.Float64(); {
		case topLevel && sample < c.FilingProbability:
			steps = append(steps, plainStep(random, StepFiling))
		case sample < c.FilingProbability+c.ToolProbability:
			steps = append(steps, plainStep(random, StepTool))
		}
	}
	return steps
}

func (c Class) chat(random *rand.Rand, topLevel bool) Step {
	step := Step{
		Kind:         StepChat,
		InputTokens:  int(logNormal(random, float64(c.InputTokens), sigmaTokens)),
		OutputTokens: int(logNormal(random, float64(c.OutputTokens), sigmaTokens)),
		Pause:        time.Duration(logNormal(random, float64(c.Pause), sigmaPause)),
	}
	if topLevel && random.Float64() < c.AgentProbability {
		for range 1 + random.IntN(maxAgents) {
			step.Agents = append(step.Agents, c.steps(random, 1+random.IntN(agentTurns), false))
		}
	}
	return step
}

func plainStep(random *rand.Rand, kind StepKind) Step {
	return Step{Kind: kind, RunTime: minRunTime + time.Duration(random.Int64N(int64(runTimeRange)))}
}

func logNormal(random *rand.Rand, median, sigma float64) float64 {
	return max(1, median*math.Exp(sigma*random.NormFloat64()))
}
