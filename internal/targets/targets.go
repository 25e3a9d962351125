// Package targets keeps the table of targets with what this instance knows of
// their load and health, and chooses the target of a request.
package targets

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanglade/banyanglade/internal/call"
	"github.com/banyanglade/banyanglade/internal/policy"
)

// Entry is a target's registration.
type Entry struct {
	// ID names one start of a target.
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Draining targets take no new requests.
	Draining bool
	// ColdRemaining is how much longer it is slow after its start.
	ColdRemaining time.Duration
	// Start is when it started, in Unix milliseconds; 0 if it does not tell.
	// Each later one under the same id is another target, which holds and knows
	// nothing of the former.
	Start int64
}

// Incarnation names one start of the target. A target that does not tell when
// it started has one only.
func (e Entry) Incarnation() string {
	if e.Start == 0 {
		return e.ID
	}
	return e.ID + incarnationSeparator + strconv.FormatInt(e.Start, 10)
}

// incarnationSeparator stands between the id and the start of a target.
const incarnationSeparator = "@"

// Target is a target with its state at this instance. The fields below the
// entry are guarded by the mutex of its Registry.
type Target struct {
	Entry
	// incarnation is that of the entry, hash its hash; they never change.
	incarnation string
	hash        uint64
	// key is the hash of the id, place where the target stands in its service.
	key   uint64
	place int
	// inFlight counts this instance's requests at the target.
	inFlight int
	// load is the newest report, inFlight as it was then; heard tells that it
	// was given to another instance.
	load           call.Load
	loadAt         time.Time
	inFlightAtLoad int
	heard          bool
	// isTold tells that the target is among those with a report.
	isTold bool
	// told is the newest report that was given to this instance itself, by which
	// targets that do not tell their pace are placed.
	told told
	// usualFill is the moving mean of the reports, in parts of the slots.
	usualFill float64
	// speed is what was learned of the target's time for a unit of work, standing
	// what it says itself, 0 if it says nothing.
	speed    policy.SpeedEstimate
	standing policy.PaceMedian
	// failures counts failures in a row; avoidUntil keeps requests away.
	failures   int
	avoidUntil time.Time
	// provenAt is when it last answered this instance in order.
	provenAt time.Time
	// brokeAt is when it last broke a connection at once, here or, as far as
	// is known, elsewhere; heardUntil keeps requests away on others' word.
	brokeAt    time.Time
	heardUntil time.Time
	// noticedAt is when others were last told of it.
	noticedAt time.Time
}

const (
	// loadAge is how long a report of a target's load is believed: a few
	// requests' duration, as others change it meanwhile.
	loadAge = 400 * time.Millisecond
	// avoidFirst and avoidMost bound how long a failing target is avoided; the
	// time doubles with each failure in a row. The first is about the time in
	// which a crashed target's successor registers.
	avoidFirst = 500 * time.Millisecond
	avoidMost  = 4 * time.Second
)

// Connections are this instance's kept connections to targets.
type Connections interface {
	// HasIdle tells whether an idle connection to an address can be used.
	HasIdle(address string, now time.Time) bool
}

// Registry is the table of targets. It is safe for concurrent use.
type Registry struct {
	// dataCentre is where this instance is.
	dataCentre  string
	connections Connections

	mu            sync.Mutex
	byID          map[string]*Target
	byIncarnation map[string]*Target
	byService     map[string]*service
	// views are other instances' views of services, by the hashes of their names.
	views map[uint64]poolView
	// byHash finds targets by the hash of their incarnation.
	byHash map[uint64]*Target
	// broken are the targets that broke connections lately, by incarnation.
	broken map[string]*Target
	// nearLoads are the usual loads of the targets of this data centre, by
	// service, in parts of their slots.
	nearLoads map[string]float64
	// works are what is usual for services whose targets' speeds are learned.
	works map[string]*work
	// learns tells that the speeds of all targets are learned.
	learns bool
	// seed differs between instances, so that each prefers other targets of those
	// that are alike.
	seed string
	// options is reused by choices.
	options []policy.TargetOption
}

// NewRegistry makes an empty table for an instance in a data centre.
func NewRegistry(dataCentre string, connections Connections) *Registry {
	return &Registry{
		dataCentre:    dataCentre,
		connections:   connections,
		byID:          make(map[string]*Target),
		byIncarnation: make(map[string]*Target),
		byHash:        make(map[uint64]*Target),
		views:         make(map[uint64]poolView),
		byService:     make(map[string]*service),
		broken:        make(map[string]*Target),
		nearLoads:     make(map[string]float64),
		works:         make(map[string]*work),
		seed:          strconv.FormatUint(rand.Uint64(), 36),
	}
}

// LearnSpeeds has the speeds of all targets learned, also of those that do not tell
// the pace of their machines.
func (r *Registry) LearnSpeeds() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.learns = true
	for service := range r.byService {
		r.work(service)
	}
}

// Put adds or updates a target and tells whether it is new or began to leave.
// Nothing that is known of an earlier start, or of another service or address
// under the same id, holds for the new one.
func (r *Registry) Put(entry Entry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t, ok := r.byID[entry.ID]; ok && t.same(entry) {
		changed := t.Draining != entry.Draining
		s := r.byService[t.Service]
		s.count(t, -1)
		// The fields that name the target are read without the mutex.
		t.DataCentre, t.Slots, t.Draining, t.ColdRemaining = entry.DataCentre, entry.Slots, entry.Draining, entry.ColdRemaining
		s.count(t, 1)
		return changed
	}
	r.remove(entry.ID)
	t := &Target{Entry: entry, incarnation: entry.Incarnation()}
	t.hash, t.key = xxhash.Sum64String(t.incarnation), xxhash.Sum64String(t.ID)
	r.byID[entry.ID] = t
	r.byIncarnation[t.incarnation] = t
	r.byHash[t.hash] = t
	if r.byService[entry.Service] == nil {
		r.byService[entry.Service] = new(service)
	}
	r.byService[entry.Service].add(t, r.dataCentre)
	if r.learns {
		r.work(entry.Service)
	}
	return true
}

// Remove drops a target and tells whether it was there.
func (r *Registry) Remove(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.remove(id)
}

func (r *Registry) remove(id string) bool {
	t, ok := r.byID[id]
	if !ok {
		return false
	}
	delete(r.byID, id)
	delete(r.byIncarnation, t.incarnation)
	delete(r.byHash, t.hash)
	r.byService[t.Service].remove(t)
	return true
}

// IDs lists all targets.
func (r *Registry) IDs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := make([]string, 0, len(r.byID))
	for id := range r.byID {
		ids = append(ids, id)
	}
	return ids
}

// Has tells whether a target is registered.
func (r *Registry) Has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.byID[id]
	return ok
}

// Entry is the registration of a target.
func (r *Registry) Entry(id string) (Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.byID[id]
	if !ok {
		return Entry{}, false
	}
	return t.Entry, true
}

// IsRegistered tells whether a start of a target is the registered one.
func (r *Registry) IsRegistered(incarnation string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.byIncarnation[incarnation]
	return ok
}

// Begin counts a request that is sent to a target.
func (r *Registry) Begin(t *Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.inFlight++
}

// End counts a request that has ended.
func (r *Registry) End(t *Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.inFlight--
}

// RecordLoad takes a target's report of its load.
func (r *Registry) RecordLoad(t *Target, load call.Load, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setLoad(t, load, now)
	t.heard = false
	t.told = told{busy: load.Running + load.Waiting, at: now, inFlight: t.inFlight}
	if t.DataCentre == r.dataCentre {
		r.noteNearLoad(t, load)
	}
}

// RecordSuccess notes that a target answered in order.
func (r *Registry) RecordSuccess(t *Target, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.failures, t.avoidUntil, t.heardUntil, t.provenAt = 0, time.Time{}, time.Time{}, now
}

// RecordFailure notes that a target could not be reached or broke off, and avoids it
// for a while.
func (r *Registry) RecordFailure(t *Target, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	wait := min(avoidFirst<<min(t.failures, 8), avoidMost)
	t.failures++
	t.avoidUntil = now.Add(wait)
}

// Incarnation names the start of the target that this is.
func (t *Target) Incarnation() string { return t.incarnation }

// same tells whether an entry is of the same start, at the same place.
func (t *Target) same(entry Entry) bool {
	return t.Service == entry.Service && t.Address == entry.Address && t.Start == entry.Start
}

// told is a target's report to this instance.
type told struct {
	// busy counts the requests that ran and waited at the time, inFlight those of
	// this instance among them.
	busy     int
	at       time.Time
	inFlight int
}

// busy estimates how many requests run and wait at a target, by what it told this
// instance. What others heard makes programs leave engines that are full for a
// moment, and read their prompts again.
func (t *Target) busy(now time.Time) float64 {
	if now.Sub(t.told.at) > loadAge {
		return float64(t.inFlight)
	}
	reported := t.told.busy + t.inFlight - t.told.inFlight
	return float64(max(reported, t.inFlight))
}
