package policy

// Load pattern: targets of one service end the same request at different times,
// by their speed, what is ahead there and what they have kept. Choosing the least
// busy target sends many requests to slow ones while fast ones have room; instances
// that all choose the one best target overload it.

const (
	// MaxReadyUtilization is how busy a target may be, in parts of its slots, to have room
	// for a program that begins or moves there with its sub-agents.
	MaxReadyUtilization = 0.6
	// MaxStayUtilization is how busy a target may be for a program to stay there while
	// others have room, maxOverloadStayUtilization where none has.
	MaxStayUtilization         = 1.6
	maxOverloadStayUtilization = 3
	// tieMargin is how much later than at the best target a request may be expected
	// to end, in parts of its usual time, for a choice to be open.
	tieMargin = 0.1
	// tieMarginBatched is the same for a program that begins or moves: many instances
	// choose at once, and what they know of the load is old by then.
	tieMarginBatched = 0.3
	// minMoveGain is how much sooner a program's turn must be expected to end
	// elsewhere for the program to move.
	minMoveGain = 0.5
	// minMoveGainUnconnected is the same where this instance has no connection to the engine
	// that has the prompt: the program's turns came through another one so far.
	minMoveGainUnconnected = 0.1
	// overloadMoveFactor is how many times as long the turn must be expected to take
	// where it is for the program to move while no target has room.
	overloadMoveFactor = 3
	// relativeLoadCost is added for a target that usually has twice what others have, so
	// that connections that are kept do not crowd some.
	relativeLoadCost = 0.4
	// warmSaving is what a target saves that may have kept what an object needs: half
	// of the work at most, and only if the object came there lately.
	warmSaving = 0.25
	// connectionCost, remoteCost and coldStartCost are what a connection to be opened, another
	// data centre and a target just started add, in parts of the usual time.
	connectionCost = 0.3
	remoteCost     = 0.25
	coldStartCost  = 0.5
	// batchedLoadSlope is what a request at a target adds to those to come while it has
	// room, for work that is done in batches.
	batchedLoadSlope = 0.3
	// batchedOverloadSlope is what a request adds once there is no room: its own wait and
	// that of the one behind it.
	batchedOverloadSlope = 2
	// plainLoadSlope is the same for work that is done one by one in each slot, and
	// plainOverloadSlope what is added once there is no room.
	plainLoadSlope     = 0.6
	plainOverloadSlope = 1.2
)

// TargetOption is a target that a request could be sent to.
type TargetOption struct {
	// Utilization is how many requests it has, in parts of its slots, Slowness its time
	// for the same work over the usual.
	Utilization float64
	Slowness    float64
	// RelativeLoad is what the target usually has over what those of its data centre
	// usually have, 1 if unknown.
	RelativeLoad float64
	// NeedsConnection tells that a connection has to be opened, Far that it is in another
	// data centre, Cold that it started just now.
	NeedsConnection bool
	Remote          bool
	Cold            bool
	// HasPrompt tells that it ran the program's last turn and has its prompt.
	HasPrompt bool
	// Warm tells that it is the one that all instances choose for the request's
	// object, so that it may have kept what the object needs.
	Warm bool
	// Excluded tells that it must not be chosen.
	Excluded bool
	// Rank orders targets that are alike, the highest first.
	Rank float64
}

// RequestProfile is what a request needs.
type RequestProfile struct {
	// PromptCost is the time to read its prompt where it is not kept, in parts of the
	// usual time of the rest.
	PromptCost float64
	// Batched tells that targets work on all requests in their slots at once.
	Batched bool
}

// margin is how much later than at the best target it may be expected to end for
// a choice to be open.
func (r RequestProfile) margin() float64 {
	if r.Batched {
		return tieMarginBatched
	}
	return tieMargin
}

// TargetChoice is a decision with what speaks for it.
type TargetChoice struct {
	// Index is the option chosen, -1 for none; Next is the best other one, -1 for
	// none.
	Index, RunnerUp int
	// Completion and RunnerUpCompletion are when these are expected to end the request, in parts of
	// its usual time.
	Completion, RunnerUpCompletion float64
	// Stayed tells that the program stays where its prompt is, Moved that it
	// leaves such a target.
	Stayed, Moved bool
}

// ChooseTarget chooses the target that is expected to end a request first; among those
// that are alike, one to which a connection is kept. A program stays with its
// prompt unless another target with room ends the turn clearly sooner.
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

// shouldStay tells whether a program stays at the target that has its prompt. Where
// none has room it moves for much only: programs that move push each other's
// prompts out, and then all wait longer.
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

// pickTied chooses among the options that are expected to end about when the
// first does.
func pickTied(options []TargetOption, completions []float64, earliest int, margin float64) int {
	best := earliest
	for i, o := range options {
		if !o.Excluded && completions[i] <= completions[earliest]+margin && o.preferredTo(options[best]) {
			best = i
		}
	}
	return best
}

// preferredTo tells whether an option goes before another one that is alike: one in
// this data centre first, since each request to another one costs bytes, then one
// with a connection.
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

// ExpectedCompletion is when a target is expected to end a request, in parts of its
// usual time.
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

// queueingCost is what requests at a target add. What is known of them is uncertain,
// so it begins before the slots are full.
func queueingCost(utilization float64, batched bool) float64 {
	excess := max(utilization-MaxReadyUtilization, 0)
	if batched {
		return batchedLoadSlope*utilization + batchedOverloadSlope*excess
	}
	return plainLoadSlope*utilization + plainOverloadSlope*excess
}
