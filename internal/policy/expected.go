package policy

// Load pattern: targets of one service end the same request at different times,
// by their speed, what is ahead there and what they have kept. Choosing the least
// busy target sends many requests to slow ones while fast ones have room; instances
// that all choose the one best target overload it.

const (
	// ReadyFill is how busy a target may be, in parts of its slots, to have room
	// for a program that begins or moves there with its sub-agents.
	ReadyFill = 0.6
	// FullFill is how busy a target may be for a program to stay there while
	// others have room, crowdedFill where none has.
	FullFill    = 1.6
	crowdedFill = 3
	// alike is how much later than at the best target a request may be expected
	// to end, in parts of its usual time, for a choice to be open.
	alike = 0.1
	// alikeBegin is the same for a program that begins or moves: many instances
	// choose at once, and what they know of the load is old by then.
	alikeBegin = 0.3
	// moveGain is how much sooner a program's turn must be expected to end
	// elsewhere for the program to move.
	moveGain = 0.5
	// moveGainOpen is the same where this instance has no connection to the engine
	// that has the prompt: the program's turns came through another one so far.
	moveGainOpen = 0.1
	// moveTimesCrowded is how many times as long the turn must be expected to take
	// where it is for the program to move while no target has room.
	moveTimesCrowded = 3
	// shareCost is added for a target that usually has twice what others have, so
	// that connections that are kept do not crowd some.
	shareCost = 0.4
	// warmGain is what a target saves that may have kept what an object needs: half
	// of the work at most, and only if the object came there lately.
	warmGain = 0.25
	// openCost, farCost and coldStart are what a connection to be opened, another
	// data centre and a target just started add, in parts of the usual time.
	openCost  = 0.3
	farCost   = 0.25
	coldStart = 0.5
	// spareSlope is what a request at a target adds to those to come while it has
	// room, for work that is done in batches.
	spareSlope = 0.3
	// batchBeyond is what a request adds once there is no room: its own wait and
	// that of the one behind it.
	batchBeyond = 2
	// plainSlope is the same for work that is done one by one in each slot, and
	// plainBeyond what is added once there is no room.
	plainSlope  = 0.6
	plainBeyond = 1.2
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
		return alikeBegin
	}
	return alike
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
	ends := make([]float64, len(options))
	first, last := -1, -1
	for i, o := range options {
		if o.Excluded {
			continue
		}
		ends[i] = ExpectedEnd(o, request)
		if first < 0 || ends[i] < ends[first] {
			first = i
		}
		if o.HasPrompt {
			last = i
		}
	}
	if first < 0 {
		return TargetChoice{Index: -1, RunnerUp: -1}
	}
	choice := TargetChoice{Index: first}
	switch {
	case last >= 0 && stays(options, ends, last, first):
		choice.Index, choice.Stayed = last, true
	default:
		choice.Index = pickAlike(options, ends, first, request.margin())
		choice.Moved = last >= 0 && choice.Index != last
	}
	choice.Completion = ends[choice.Index]
	choice.RunnerUp = runnerUp(options, ends, choice.Index)
	if choice.RunnerUp >= 0 {
		choice.RunnerUpCompletion = ends[choice.RunnerUp]
	}
	return choice
}

// stays tells whether a program stays at the target that has its prompt. Where
// none has room it moves for much only: programs that move push each other's
// prompts out, and then all wait longer.
func stays(options []TargetOption, ends []float64, last, first int) bool {
	at, sooner := options[last], ends[last]-ends[first]
	switch {
	case at.Utilization >= crowdedFill:
		return false
	case options[first].Utilization >= ReadyFill:
		return ends[last] < moveTimesCrowded*ends[first]
	case at.Utilization >= FullFill:
		return false
	case at.NeedsConnection:
		return sooner < moveGainOpen
	}
	return sooner < moveGain
}

// pickAlike chooses among the options that are expected to end about when the
// first does.
func pickAlike(options []TargetOption, ends []float64, first int, margin float64) int {
	best := first
	for i, o := range options {
		if !o.Excluded && ends[i] <= ends[first]+margin && o.preferred(options[best]) {
			best = i
		}
	}
	return best
}

// preferred tells whether an option goes before another one that is alike: one in
// this data centre first, since each request to another one costs bytes, then one
// with a connection.
func (o TargetOption) preferred(other TargetOption) bool {
	switch {
	case o.Remote != other.Remote:
		return other.Remote
	case o.NeedsConnection != other.NeedsConnection:
		return other.NeedsConnection
	}
	return o.Rank > other.Rank
}

func runnerUp(options []TargetOption, ends []float64, chosen int) int {
	next := -1
	for i, o := range options {
		if o.Excluded || i == chosen {
			continue
		}
		if next < 0 || ends[i] < ends[next] {
			next = i
		}
	}
	return next
}

// ExpectedEnd is when a target is expected to end a request, in parts of its
// usual time.
func ExpectedEnd(o TargetOption, request RequestProfile) float64 {
	work := 1 + waiting(o.Utilization, request.Batched)
	if !o.HasPrompt {
		work += request.PromptCost
	}
	if o.Warm {
		work -= warmGain
	}
	end := o.Slowness * work
	if !request.Batched {
		end += shareCost * min(o.RelativeLoad-1, 1)
	}
	if o.NeedsConnection {
		end += openCost
	}
	if o.Remote {
		end += farCost
	}
	if o.Cold {
		end += coldStart
	}
	return end
}

// waiting is what requests at a target add. What is known of them is uncertain,
// so it begins before the slots are full.
func waiting(fill float64, batched bool) float64 {
	beyond := max(fill-ReadyFill, 0)
	if batched {
		return spareSlope*fill + batchBeyond*beyond
	}
	return plainSlope*fill + plainBeyond*beyond
}
