package bench

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Step is one call of a chain and what follows it.
type Step struct {
	// InputTokens is the number of prompt tokens new in this call and Output the
	// number of tokens of the answer.
	InputTokens, OutputTokens int
	// Pause is the time until the chain's next call.
	Pause time.Duration
	// Agents are sub-agents that run at once after the call; the next call
	// waits for all of them. Each starts from a copy of the chain's context.
	Agents []Chain
}

// Chain is a sequence of dependent calls.
type Chain []Step

// Program is one synthetic program.
type Program struct {
	ID           structs.ProgramID
	Team         structs.Team
	Arrival      time.Duration
	SharedTokens int
	Chain        Chain
	Priority     int
	Weight       float64
	// Deadline is the wanted latency, 0 for none.
	Deadline time.Duration
	// CallTimeout bounds each call.
	CallTimeout time.Duration
	// Abandoned marks a program that never returns after its chain; its owner
	// closes it only after the idle timeout.
	Abandoned bool
	// Looping marks a program that the loop check closes; it counts as load
	// but not in the latencies.
	Looping bool
}

// Measured tells whether the program's latency is measured.
func (p *Program) Measured() bool { return !p.Abandoned && !p.Looping }

// IdleLatency is the program's latency on an idle system whose engines hold the
// shared prefix and all of the program's own. It is a lower bound: sub-agents
// do not slow each other.
func (p *Program) IdleLatency(o Options) time.Duration {
	total, _ := idleChainLatency(o, p.Chain, 0)
	return total
}

// idleChainLatency gives the latency of a chain that starts with own context tokens
// and the context after it.
func idleChainLatency(o Options, chain Chain, context int) (time.Duration, int) {
	var total time.Duration
	for i, step := range chain {
		total += idleCallLatency(o, step)
		context += step.InputTokens + step.OutputTokens
		var longest time.Duration
		for _, agent := range step.Agents {
			took, _ := idleChainLatency(o, agent, context)
			longest = max(longest, took)
		}
		total += longest
		if i < len(chain)-1 {
			total += step.Pause
		}
	}
	return total, context
}

// idleCallLatency is the latency of one call: its messages, the prefill of its new
// tokens and its answer.
func idleCallLatency(o Options, step Step) time.Duration {
	e := o.Engine
	steps := (max(1, step.InputTokens)+e.PrefillChunk-1)/e.PrefillChunk - 1 + step.OutputTokens
	engine := time.Duration(steps)*e.StepBase +
		time.Duration(step.InputTokens)*e.StepPerPrefillToken +
		time.Duration(step.OutputTokens)*e.StepPerSequence
	return hopsPerCall*o.HopDelay + engine
}

// hopsPerCall counts the messages one after another of a call that need not
// wait: request, grant, start and answer.
const hopsPerCall = 4
