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
	// stored tells that the system keeps the conversation, which goes on from
	// the turn previous, empty at its start.
	stored      bool
	previous    string
	incarnation *incarnation
	start       time.Time
	end         time.Time
	status      int
	signature   string
	received    string
	// events are the numbers of the events received, in order.
	events []int
	// complete tells that the answer came to its end; cut that the connection
	// broke after the request was written.
	complete bool
	aborted  bool
	// cancelled tells that the caller gave up.
	cancelled bool
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
	// faulted tells that the target broke the answer off or spoiled it; ended
	// that it answered to the end.
	faulted   bool
	completed bool
}

// probe is what an instance showed of the operator's settings.
type probe struct {
	incarnation *incarnation
	version     int
	start       time.Time
	end         time.Time
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
	published    map[int]time.Time
	attemptsByID map[string]*attempt
	// storedTurns are the kept turns whose callers saw the end, in order.
	storedTurns []string
	// crashed are the lives that ended without being asked to.
	crashed []*incarnation
	// misrouted are requests that were sent where no target's entry points.
	misrouted []string
}

func newHistory() *history {
	return &history{
		runs: make(map[string][]*run), programs: make(map[string]int), published: make(map[int]time.Time),
		attemptsByID: make(map[string]*attempt),
	}
}

// recordStart notes a request before it is sent.
func (h *history) recordStart(a *attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attemptsByID[a.id] = a
}

// recordEnd notes a request that has its outcome.
func (h *history) recordEnd(a *attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.end = time.Now()
	h.attempts = append(h.attempts, a)
	if a.stored && a.served() {
		h.storedTurns = append(h.storedTurns, a.id)
	}
}

// recordProgram notes a program with its budget, in tokens.
func (h *history) recordProgram(program string, budget int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.programs[program] = budget
}

func (h *history) recordRun(r *run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs[r.request] = append(h.runs[r.request], r)
}

// recordMisrouted notes a request that was sent where no target's entry points.
func (h *history) recordMisrouted(what string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.misrouted = append(h.misrouted, what)
}

// recordCrash notes a life that ended without being asked to.
func (h *history) recordCrash(l *incarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.crashed = append(h.crashed, l)
}

// recordRunEnd notes how a run ended.
func (h *history) recordRunEnd(r *run, faulty, completed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.faulted, r.completed = r.faulted || faulty, completed
}

func (h *history) recordProbe(p probe) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.probes = append(h.probes, p)
}

func (h *history) recordPublished(version int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.published[version] = time.Now()
}

// served tells whether the caller saw the end of a success.
func (a *attempt) served() bool { return a.complete && a.status == statusOK }

// conversation is what a kept turn and all before it hold, with the text that a
// target gets for it. It returns false if a turn before it was never made.
func (h *history) conversation(id string) (text, input string, ok bool) {
	a, known := h.attemptsByID[id]
	if !known || !a.stored {
		return "", "", false
	}
	before := ""
	if a.previous != "" {
		if before, _, ok = h.conversation(a.previous); !ok {
			return "", "", false
		}
	}
	input = before + a.body
	return input + strings.Repeat(a.body+"\n", eventCount(a.body)), input, true
}

// maxRecentTurns bounds the turns that others may continue.
const maxRecentTurns = 60

// randomStoredTurn chooses a kept turn of an organisation that ended lately, empty if there
// is none.
func (h *history) randomStoredTurn(rng *rand.Rand, organisation string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	own := slices.DeleteFunc(slices.Clone(h.storedTurns), func(id string) bool {
		return h.attemptsByID[id].organisation != organisation
	})
	if len(own) == 0 {
		return ""
	}
	recent := own[max(len(own)-maxRecentTurns, 0):]
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
