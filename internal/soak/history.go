package soak

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// kind is the kind of a request.
type kind uint8

const (
	// turn requests are answered by a stream and may go on elsewhere.
	turn kind = iota
	// safe requests may run more than once.
	safe
	// once requests run at most once.
	once
)

func (k kind) String() string { return [...]string{"turn", "safe", "once"}[k] }

// attempt is one request of a caller, with what it received.
type attempt struct {
	id      string
	program string
	// organisation holds the key that the attempt carries, empty if it is forged.
	organisation string
	kind         kind
	body         string
	// kept tells that the system keeps the conversation, which goes on from
	// the turn previous, empty at its start.
	kept     bool
	previous string
	life     *life
	start    time.Time
	end      time.Time
	status   int
	signed   string
	received string
	// events are the numbers of the events received, in order.
	events []int
	// whole tells that the answer came to its end; cut that the connection
	// broke after the request was written.
	whole bool
	cut   bool
	// left tells that the caller gave up.
	left bool
}

// tokens is what the caller was handed.
func (a *attempt) tokens() int { return len(a.events) * tokensPerEvent }

// run is one request at a target.
type run struct {
	request string
	target  *target
	uri     string
	body    string
	// organisation and credential are what the target was told of the caller.
	organisation string
	credential   string
	start        time.Time
	// faulty tells that the target broke the answer off or spoiled it; ended
	// that it answered to the end.
	faulty bool
	ended  bool
}

// probe is what an instance showed of the operator's settings.
type probe struct {
	life    *life
	version int
	start   time.Time
	end     time.Time
	// inForce tells that the version's route was there.
	inForce bool
}

// history is what callers and targets saw. It is safe for concurrent use.
type history struct {
	mu       sync.Mutex
	attempts []*attempt
	runs     map[string][]*run
	probes   []probe
	programs map[string]int
	// published holds when each version of the settings was acknowledged.
	published map[int]time.Time
	known     map[string]*attempt
	// keptTurns are the kept turns whose callers saw the end, in order.
	keptTurns []string
	// alone are the lives that ended without being asked to.
	alone []*life
	// strays are requests that were sent where no target's entry points.
	strays []string
}

func newHistory() *history {
	return &history{
		runs: make(map[string][]*run), programs: make(map[string]int), published: make(map[int]time.Time),
		known: make(map[string]*attempt),
	}
}

// begin notes a request before it is sent.
func (h *history) begin(a *attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.known[a.id] = a
}

// end notes a request that has its outcome.
func (h *history) end(a *attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.end = time.Now()
	h.attempts = append(h.attempts, a)
	if a.kept && a.served() {
		h.keptTurns = append(h.keptTurns, a.id)
	}
}

// open notes a program with its budget, in tokens.
func (h *history) open(program string, budget int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.programs[program] = budget
}

func (h *history) ran(r *run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs[r.request] = append(h.runs[r.request], r)
}

// stray notes a request that was sent where no target's entry points.
func (h *history) stray(what string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.strays = append(h.strays, what)
}

// endedAlone notes a life that ended without being asked to.
func (h *history) endedAlone(l *life) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.alone = append(h.alone, l)
}

// finish notes how a run ended.
func (h *history) finish(r *run, faulty, ended bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.faulty, r.ended = r.faulty || faulty, ended
}

func (h *history) probed(p probe) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.probes = append(h.probes, p)
}

func (h *history) publish(version int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.published[version] = time.Now()
}

// served tells whether the caller saw the end of a success.
func (a *attempt) served() bool { return a.whole && a.status == statusOK }

// conversation is what a kept turn and all before it hold, with the text that a
// target gets for it. It returns false if a turn before it was never made.
func (h *history) conversation(id string) (text, input string, ok bool) {
	a, known := h.known[id]
	if !known || !a.kept {
		return "", "", false
	}
	before := ""
	if a.previous != "" {
		if before, _, ok = h.conversation(a.previous); !ok {
			return "", "", false
		}
	}
	input = before + a.body
	return input + strings.Repeat(a.body+"\n", eventsOf(a.body)), input, true
}

// recentKept bounds the turns that others may continue.
const recentKept = 60

// anyKept chooses a kept turn of an organisation that ended lately, empty if there
// is none.
func (h *history) anyKept(rng *rand.Rand, organisation string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	own := slices.DeleteFunc(slices.Clone(h.keptTurns), func(id string) bool {
		return h.known[id].organisation != organisation
	})
	if len(own) == 0 {
		return ""
	}
	recent := own[max(len(own)-recentKept, 0):]
	return recent[rng.IntN(len(recent))]
}

// served counts the whole answers so far.
func (h *history) served() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, a := range h.attempts {
		if a.served() {
			n++
		}
	}
	return n
}
