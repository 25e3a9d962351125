package policy

// Targets of one service complete the same request at different times, depending
// on their speed, load and caches. Choosing the least busy target sends too many
// requests to slow ones, and if all instances choose the single best target,
// they overload it.

const (
	// MaxReadyUtilization is the utilization below which a target has capacity
	// for a program that begins or moves there with its sub-agents.
	MaxReadyUtilization = 0.6
	// MaxStayUtilization is the utilization below which a program stays at a
	// target while others have capacity, maxOverloadStayUtilization the same
	// while none has.
	MaxStayUtilization         = 1.6
	maxOverloadStayUtilization = 3
	// tieMargin is the difference in expected completion, as a fraction of the
	// request's typical time, up to which targets are equivalent.
	tieMargin = 0.1
	// tieMarginBatched is the same for batched work. It is wider, since many
	// instances choose at once from load reports that are outdated by then.
	tieMarginBatched = 0.3
	// minMoveGain is the minimum gain in expected completion for which a program
	// moves to another target.
	minMoveGain = 0.5
	// minMoveGainUnconnected is the same if this instance has no connection to
	// the target that has the program's prompt.
	minMoveGainUnconnected = 0.1
	// overloadMoveFactor is the ratio of the expected completions from which on
	// a program moves while no target has capacity.
	overloadMoveFactor = 3
	// relativeLoadCost is added for a target with twice the average load, so
	// that reusing connections does not overload some targets.
	relativeLoadCost = 0.4
	// warmSaving is subtracted for a target that is likely to have cached what an
	// object needs. The cache saves half of the work at most, and only if the object
	// was there lately.
	warmSaving = 0.25
	// connectionCost, remoteCost and coldStartCost are added for a connection to
	// be opened, a target in another data centre and a target that has just
	// started, as fractions of the request's typical time.
	connectionCost = 0.3
	remoteCost     = 0.25
	coldStartCost  = 0.5
	// batchedLoadSlope is the increase in expected completion per unit of
	// utilization for batched work.
	batchedLoadSlope = 0.3
	// batchedOverloadSlope is added to the slope above MaxReadyUtilization: the
	// request's own wait and that of the one behind it.
	batchedOverloadSlope = 2
	// plainLoadSlope and plainOverloadSlope are the same for work that is done
	// one by one in each slot.
	plainLoadSlope     = 0.6
	plainOverloadSlope = 1.2
)

// TargetOption is a target to which a request could be sent.
type TargetOption struct {
	// Utilization is the number of requests at the target as a fraction of its
	// slots, Slowness its time for the same work relative to the typical one.
	Utilization float64
	Slowness    float64
	// RelativeLoad is the target's typical load relative to that of its data
	// centre's targets, 1 if unknown.
	RelativeLoad float64
	// NeedsConnection means that a connection has to be opened, Remote that the
	// target is in another data centre, Cold that it has just started.
	NeedsConnection bool
	Remote          bool
	Cold            bool
	// HasPrompt means that the target ran the program's last turn and has its
	// prompt.
	HasPrompt bool
	// Warm means that all instances prefer this target for the request's object,
	// so it is likely to have cached what the object needs.
	Warm bool
	// Excluded means that the target must not be chosen.
	Excluded bool
	// Rank breaks ties between equivalent targets; the highest wins.
	Rank float64
}

// RequestProfile describes the work of a request.
type RequestProfile struct {
	// PromptCost is the time to process the prompt where it is not cached, as a
	// fraction of the typical time of the rest.
	PromptCost float64
	// Batched means that targets work on all requests in their slots at once.
	Batched bool
}

// margin returns the difference in expected completion up to which targets are
// equivalent.
func (r RequestProfile) margin() float64 {
	if r.Batched {
		return tieMarginBatched
	}
	return tieMargin
}

// TargetChoice is the decision of ChooseTarget and the estimates behind it.
type TargetChoice struct {
	// Index is the chosen option and RunnerUp the best other one, -1 for none.
	Index, RunnerUp int
	// Completion and RunnerUpCompletion are their expected completions as
	// fractions of the request's typical time.
	Completion, RunnerUpCompletion float64
	// Stayed means that the program stays at the target that has its prompt,
	// Moved that it leaves that target.
	Stayed, Moved bool
}

// ChooseTarget returns the target with the earliest expected completion. Among
// equivalent targets it prefers one with an open connection. A program stays
// with its prompt unless another target with capacity completes the turn clearly
// sooner.
func ChooseTarget(options []TargetOption, request RequestProfile) TargetChoice {
	completions := make([]float64, len(options))
	best, current := -1, -1
	for i, o := range options {
		if o.Excluded {
			continue
		}
		completions[i] = ExpectedCompletion(o, request)
		if best < 0 || completions[i] < completions[best] {
			best = i
		}
		if o.HasPrompt {
			current = i
		}
	}
	if best < 0 {
		return TargetChoice{Index: -1, RunnerUp: -1}
	}
	choice := TargetChoice{Index: best}
	switch {
	case current >= 0 && shouldStay(options, completions, current, best):
		choice.Index, choice.Stayed = current, true
	default:
		choice.Index = pickTied(options, completions, best, request.margin())
		choice.Moved = current >= 0 && choice.Index != current
	}
	choice.Completion = completions[choice.Index]
	choice.RunnerUp = runnerUp(options, completions, choice.Index)
	if choice.RunnerUp >= 0 {
		choice.RunnerUpCompletion = completions[choice.RunnerUp]
	}
	return choice
}

// shouldStay reports whether a program stays at the target that has its prompt.
// If no target has capacity it moves only for a large gain, since programs that
// move evict each other's prompts.
func shouldStay(options []TargetOption, completions []float64, holder, best int) bool {
	current, gain := options[holder], completions[holder]-completions[best]
	switch {
	case current.Utilization >= maxOverloadStayUtilization:
		return false
	case options[best].Utilization >= MaxReadyUtilization:
		return completions[holder] < overloadMoveFactor*completions[best]
	case current.Utilization >= MaxStayUtilization:
		return false
	case current.NeedsConnection:
		return gain < minMoveGainUnconnected
	}
	return gain < minMoveGain
}

// pickTied returns the preferred one among the options that are equivalent to
// the earliest.
func pickTied(options []TargetOption, completions []float64, earliest int, margin float64) int {
	best := earliest
	for i, o := range options {
		if !o.Excluded && completions[i] <= completions[earliest]+margin && o.preferredTo(options[best]) {
			best = i
		}
	}
	return best
}

// preferredTo reports whether an option goes before an equivalent one: first
// those in this data centre, to limit the traffic between data centres, then
// those with an open connection.
func (o TargetOption) preferredTo(other TargetOption) bool {
	switch {
	case o.Remote != other.Remote:
		return other.Remote
	case o.NeedsConnection != other.NeedsConnection:
		return other.NeedsConnection
	}
	return o.Rank > other.Rank
}

func runnerUp(options []TargetOption, completions []float64, chosen int) int {
	next := -1
	for i, o := range options {
		if o.Excluded || i == chosen {
			continue
		}
		if next < 0 || completions[i] < completions[next] {
			next = i
		}
	}
	return next
}

// ExpectedCompletion returns when a target is expected to complete a request, as
// a fraction of the request's typical time.
func ExpectedCompletion(o TargetOption, request RequestProfile) float64 {
	work := 1 + queueingCost(o.Utilization, request.Batched)
	if !o.HasPrompt {
		work += request.PromptCost
	}
	if o.Warm {
		work -= warmSaving
	}
	completion := o.Slowness * work
	if !request.Batched {
		completion += relativeLoadCost * min(o.RelativeLoad-1, 1)
	}
	if o.NeedsConnection {
		completion += connectionCost
	}
	if o.Remote {
		completion += remoteCost
	}
	if o.Cold {
		completion += coldStartCost
	}
	return completion
}

// queueingCost returns the time that the requests at a target add. Since load
// reports are inexact, the slope increases from MaxReadyUtilization on rather
// than when all slots are in use.
func queueingCost(utilization float64, batched bool) float64 {
	excess := max(utilization-MaxReadyUtilization, 0)
	if batched {
		return batchedLoadSlope*utilization + batchedOverloadSlope*excess
	}
	return plainLoadSlope*utilization + plainOverloadSlope*excess
}
