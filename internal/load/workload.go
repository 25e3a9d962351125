package load

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// StepKind tells what a step of a program calls.
type StepKind string

// Kinds of steps.
const (
	StepChat   StepKind = "chat"
	StepTool   StepKind = "tool"
	StepFiling StepKind = "filing"
)

// Step is one call of a lane and what follows it.
type Step struct {
	Kind StepKind
	// Input is the number of prompt tokens that are new in a chat, Output the
	// number of tokens of its answer.
	Input, Output int
	// RunTime is how long a tool or filing call takes at its target.
	RunTime time.Duration
	// Agents are sub-agents that run at once after the call, each in a lane
	// of its own; the next step waits for all of them.
	Agents [][]Step
	// Pause is the time until the lane's next step.
	Pause time.Duration
}

// Program is one synthetic program.
type Program struct {
	Class   string
	Arrival time.Duration
	Steps   []Step
	// Abandoned marks a program that its caller never closes, as if it died.
	Abandoned bool
	// Seed feeds the program's choices of instances.
	Seed uint64
}

// Calls is the number of calls of a program, sub-agents included.
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
	// Rate is the number of programs that arrive a second.
	Rate float64
	// Turns and TurnsMax bound the chats of a program; the number has a
	// Pareto tail of shape TurnsTail.
	Turns, TurnsMax int
	TurnsTail       float64
	// Shared is the length of the system message, in tokens.
	Shared int
	// Input, Output and Pause are medians of log-normal distributions.
	Input, Output int
	Pause         time.Duration
	// Tool, Filing, Agents and Abandon are chances: of a tool call or a
	// filing after a chat, of sub-agents after a chat, and that the caller
	// never closes the program.
	Tool, Filing, Agents, Abandon float64
}

// Names of the classes of the usual workload, which are paths of teams below
// the kit's team.
const (
	ClassClearance = "clearance"
	ClassStatus    = "status"
)

// Widths of the log-normal distributions, the range of the run time of plain
// calls, and the bounds of sub-agents.
const (
	sigmaTokens  = 0.6
	sigmaPause   = 0.6
	minRunTime   = 10 * time.Millisecond
	runTimeRange = 40 * time.Millisecond
	maxAgents    = 3
	agentTurns   = 2
)

// DefaultClasses are clearance searches before status lookups, at an arrival
// rate multiplied by a factor.
func DefaultClasses(factor float64) []Class {
	return []Class{
		{
			Name: ClassClearance, Priority: 0, Rate: 1.2 * factor,
			Turns: 2, TurnsMax: 12, TurnsTail: 1.5, Shared: 400,
			Input: 120, Output: 40, Pause: 150 * time.Millisecond,
			Tool: 0.3, Filing: 0.15, Agents: 0.1, Abandon: 0.05,
		},
		{
			Name: ClassStatus, Priority: 5, Rate: 2.4 * factor,
			Turns: 1, TurnsMax: 12, TurnsTail: 1.3, Shared: 300,
			Input: 100, Output: 30, Pause: 150 * time.Millisecond,
			Tool: 0.2, Agents: 0.05, Abandon: 0.1,
		},
	}
}

// Generate makes the programs that arrive within a duration, in order of
// arrival. The same arguments give the same programs.
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
		at += time.Duration(random.ExpFloat64() / c.Rate * float64(time.Second))
		if at >= duration {
			return programs
		}
		p := &Program{Class: c.Name, Arrival: at, Seed: random.Uint64()}
		p.Abandoned = random.Float64() < c.Abandon
		p.Steps = c.steps(random, c.turns(random), true)
		programs = append(programs, p)
	}
}

func (c Class) turns(random *rand.Rand) int {
	drawn := float64(c.Turns) / math.Pow(1-random.Float64(), 1/c.TurnsTail)
	return min(c.TurnsMax, int(drawn))
}

// steps makes the steps of a lane; only the program's own has sub-agents and
// filings.
func (c Class) steps(random *rand.Rand, turns int, own bool) []Step {
	var steps []Step
	for range turns {
		steps = append(steps, c.chat(random, own))
		switch drawn := random.Float64(); {
		case own && drawn < c.Filing:
			steps = append(steps, plainStep(random, StepFiling))
		case drawn < c.Filing+c.Tool:
			steps = append(steps, plainStep(random, StepTool))
		}
	}
	return steps
}

func (c Class) chat(random *rand.Rand, own bool) Step {
	step := Step{
		Kind:   StepChat,
		Input:  int(logNormal(random, float64(c.Input), sigmaTokens)),
		Output: int(logNormal(random, float64(c.Output), sigmaTokens)),
		Pause:  time.Duration(logNormal(random, float64(c.Pause), sigmaPause)),
	}
	if own && random.Float64() < c.Agents {
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
