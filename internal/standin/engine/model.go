package engine

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrDuplicateID is returned for a request whose id is already waiting or
// running.
var ErrDuplicateID = errors.New("a request with this id is waiting or running")

// Model is a continuous-batching engine. In each step, every running sequence
// past its prefill generates one token, and prompts are processed in chunks.
// Requests are admitted to slots in order of arrival. It is deterministic and
// not safe for concurrent use.
type Model struct {
	settings ModelSettings
	cache    *cache
	waiting  []*sequence
	running  []*sequence
	byID     map[string]*sequence
	// planned is the duration of the planned step, valid if isPlanned.
	planned   time.Duration
	isPlanned bool
}

// NewModel returns an idle model with an empty cache.
func NewModel(settings ModelSettings) *Model {
	settings = settings.withDefaults()
	return &Model{
		settings: settings,
		cache:    newCache(settings.CacheCapacity),
		byID:     make(map[string]*sequence),
	}
}

// Submit appends a request to the queue. It fails with ErrDuplicateID.
func (m *Model) Submit(request Request) error {
	if _, ok := m.byID[request.ID]; ok {
		return errors.Wrapf(ErrDuplicateID, "request %q", request.ID)
	}
	request.PromptTokens = max(1, request.PromptTokens)
	request.SharedTokens = min(max(0, request.SharedTokens), request.PromptTokens)
	if request.SharedKey == "" {
		request.SharedTokens = 0
	}
	seq := &sequence{request: request}
	m.byID[request.ID] = seq
	m.waiting = append(m.waiting, seq)
	return nil
}

// Cancel ends a waiting or running request and frees its slot. Its processed
// tokens stay in the cache. It returns false for an unknown id.
func (m *Model) Cancel(id string) (Finished, bool) {
	seq, ok := m.byID[id]
	if !ok {
		return Finished{}, false
	}
	if slices.Contains(m.running, seq) {
		m.releaseSlot(seq)
	}
	isCancelled := func(other *sequence) bool { return other == seq }
	m.running = slices.DeleteFunc(m.running, isCancelled)
	m.waiting = slices.DeleteFunc(m.waiting, isCancelled)
	delete(m.byID, id)
	return seq.finished(FinishCancelled), true
}

// Idle reports whether no request waits or runs.
func (m *Model) Idle() bool {
	return len(m.byID) == 0
}

// Running returns the number of requests in slots as of the last plan.
func (m *Model) Running() int {
	return len(m.running)
}

// Waiting returns the number of queued requests.
func (m *Model) Waiting() int {
	return len(m.waiting)
}

// Slots returns the number of slots.
func (m *Model) Slots() int {
	return m.settings.Slots
}

// StepDuration plans the next step, unless it is planned already, and returns
// its duration. Requests submitted after the plan join the following step. A
// step of an idle model takes StepBase.
func (m *Model) StepDuration() time.Duration {
	if !m.isPlanned {
		m.plan()
	}
	return m.planned
}

func (m *Model) plan() {
	m.admit()
	budget := m.settings.PrefillChunk
	duration := m.settings.StepBase
	for _, seq := range m.running {
		taken := seq.plan(budget)
		budget -= taken
		duration += time.Duration(taken) * m.settings.StepPerPrefillToken
		if seq.plannedToken {
			duration += m.settings.StepPerSequence
		}
	}
	m.planned = duration
	m.isPlanned = true
}

// admit moves waiting requests into free slots.
func (m *Model) admit() {
	for len(m.waiting) > 0 && len(m.running) < m.settings.Slots {
		seq := m.waiting[0]
		m.waiting = m.waiting[1:]
		seq.start(m.cache.hit(seq.request))
		m.cache.pin(seq.request)
		m.running = append(m.running, seq)
	}
}

// Step executes the planned step, after planning it if necessary.
func (m *Model) Step() StepResult {
	if !m.isPlanned {
		m.plan()
	}
	m.isPlanned = false
	var result StepResult
	for _, seq := range m.running {
		if seq.step() {
			token := TokenEvent{ID: seq.request.ID, Index: seq.generated - 1}
			result.Tokens = append(result.Tokens, token)
		}
		m.storeShared(seq)
		if seq.complete() {
			m.releaseSlot(seq)
			delete(m.byID, seq.request.ID)
			result.Finished = append(result.Finished, seq.finished(seq.reason()))
		}
	}
	m.running = slices.DeleteFunc(m.running, (*sequence).complete)
	return result
}

// storeShared caches a shared prefix as soon as it is processed, so that other
// programs can use it while this sequence runs.
func (m *Model) storeShared(seq *sequence) {
	if seq.sharedStored || seq.prefilled < seq.request.SharedTokens {
		return
	}
	seq.sharedStored = true
	m.cache.store(seq.request.SharedKey, seq.processedShared())
}

// releaseSlot caches the processed tokens of a sequence and unpins its entries.
func (m *Model) releaseSlot(seq *sequence) {
	defer m.cache.unpin(seq.request)
	if seq.request.Program != "" {
		m.cache.store(seq.request.Program, seq.processedOwn())
	}
	if seq.request.SharedKey != "" {
		m.cache.store(seq.request.SharedKey, seq.processedShared())
	}
}
