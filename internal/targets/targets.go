// Package targets holds the registered targets with the load and health known to
// this instance, and selects the target of each request.
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
	// ID identifies the target across restarts; see Incarnation.
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// Draining targets take no new requests.
	Draining bool
	// ColdRemaining is how much longer the target is slow after its start.
	ColdRemaining time.Duration
	// Start is when it started, in Unix milliseconds; 0 if not reported. A later start
	// under the same ID is a different incarnation, which shares no state with the
	// earlier one.
	Start int64
	// Version is the version of the target's software. Targets of several versions may
	// serve side by side.
	Version string
}

// Incarnation identifies one start of the target. A target that does not report its
// start time has a single incarnation.
func (e Entry) Incarnation() string {
	if e.Start == 0 {
		return e.ID
	}
	return e.ID + incarnationSeparator + strconv.FormatInt(e.Start, 10)
}

// incarnationSeparator separates the ID and the start time in an incarnation.
const incarnationSeparator = "@"

// Target is a registered target with its state at this instance. The mutex of its
// Registry guards the fields below the entry, except the immutable ones.
type Target struct {
	Entry
	// incarnation is Entry.Incarnation, incarnationHash its hash; both are immutable.
	incarnation     string
	incarnationHash uint64
	// idHash is the hash of the ID, index the target's position in service.all.
	idHash uint64
	index  int
	// inFlight counts this instance's requests at the target.
	inFlight int
	// load is the newest report, inFlightAtLoad the value of inFlight when it was
	// received. relayed indicates that another instance received the report.
	load           call.Load
	loadAt         time.Time
	inFlightAtLoad int
	relayed        bool
	// hasReport indicates that the target is in service.reporting.
	hasReport bool
	// direct is the newest report that this instance received itself. It is used to
	// select among targets that do not report their pace.
	direct directReport
	// meanUtilization is the moving average of the reported load, as a fraction of the
	// slots.
	meanUtilization float64
	// unitTime is the measured time for a unit of work; pace summarizes the paces that the
	// target reports.
	unitTime policy.UnitTimeEstimate
	pace     policy.PaceMedian
	// failures counts consecutive failures; the target is avoided until avoidUntil.
	failures   int
	avoidUntil time.Time
	// lastSuccessAt is when a request of this instance last succeeded.
	lastSuccessAt time.Time
	// lastSharedFailureAt is when the target last closed a new connection or failed a
	// turn, of this or another instance. peerAvoidUntil is set by reports of other
	// instances.
	lastSharedFailureAt time.Time
	peerAvoidUntil      time.Time
	// isolated counts this instance's requests that should have the target to themselves.
	isolated int
	// lastNoticeAt is when other instances were last notified of a failure.
	lastNoticeAt time.Time
}

const (
	// maxLoadAge is the age at which a load report is discarded: other instances change
	// the load meanwhile.
	maxLoadAge = 400 * time.Millisecond
	// minAvoidance and maxAvoidance bound how long a failing target is avoided; the
	// time doubles with each consecutive failure. The replacement of a crashed target
	// registers within about minAvoidance.
	minAvoidance = 500 * time.Millisecond
	maxAvoidance = 4 * time.Second
)

// Connections is this instance's pool of connections to targets.
type Connections interface {
	// HasIdle reports whether a usable idle connection to an address exists.
	HasIdle(address string, now time.Time) bool
}

// Registry holds the registered targets. It is safe for concurrent use.
type Registry struct {
	// dataCentre is the data centre of this instance.
	dataCentre  string
	connections Connections

	mu            sync.Mutex
	byID          map[string]*Target
	byIncarnation map[string]*Target
	byService     map[string]*service
	// views holds other instances' views of services, by hash of the service name.
	views map[uint64]poolView
	// byHash indexes targets by incarnationHash.
	byHash map[uint64]*Target
	// recentlyFailed holds the targets of TargetFailures, by incarnation.
	recentlyFailed map[string]*Target
	// localUtilization is the moving average of the utilization of targets in this data
	// centre, by service.
	localUtilization map[string]float64
	// models holds the services whose targets' speeds are learned.
	models map[string]*serviceModel
	// learnsSpeeds indicates that the speeds of all targets are learned.
	learnsSpeeds bool
	// seed makes each instance prefer different targets among equivalent ones.
	seed string
	// targetOptions is reused between selections to avoid allocations.
	targetOptions []policy.TargetOption
}

// NewRegistry returns an empty Registry for an instance in dataCentre.
func NewRegistry(dataCentre string, connections Connections) *Registry {
	return &Registry{
		dataCentre:       dataCentre,
		connections:      connections,
		byID:             make(map[string]*Target),
		byIncarnation:    make(map[string]*Target),
		byHash:           make(map[uint64]*Target),
		views:            make(map[uint64]poolView),
		byService:        make(map[string]*service),
		recentlyFailed:   make(map[string]*Target),
		localUtilization: make(map[string]float64),
		models:           make(map[string]*serviceModel),
		seed:             strconv.FormatUint(rand.Uint64(), 36),
	}
}

// LearnSpeeds enables speed learning for all targets, including those that do not
// report their pace.
func (r *Registry) LearnSpeeds() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.learnsSpeeds = true
	for service := range r.byService {
		r.model(service)
	}
}

// Put adds or updates a target. It reports whether the target is new or its
// draining state changed. A new incarnation, or a new service, address or software
// version under the same ID, starts without state.
func (r *Registry) Put(entry Entry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t, ok := r.byID[entry.ID]; ok && t.matches(entry) {
		changed := t.Draining != entry.Draining
		s := r.byService[t.Service]
		s.adjustTotals(t, -1)
		// ID, Service, Address, Start and Version are not updated: they are read
		// without the mutex.
		t.DataCentre, t.Slots, t.Draining, t.ColdRemaining = entry.DataCentre, entry.Slots, entry.Draining, entry.ColdRemaining
		s.adjustTotals(t, 1)
		return changed
	}
	r.remove(entry.ID)
	t := &Target{Entry: entry, incarnation: entry.Incarnation()}
	t.incarnationHash, t.idHash = xxhash.Sum64String(t.incarnation), xxhash.Sum64String(t.ID)
	r.byID[entry.ID] = t
	r.byIncarnation[t.incarnation] = t
	r.byHash[t.incarnationHash] = t
	if r.byService[entry.Service] == nil {
		r.byService[entry.Service] = new(service)
	}
	r.byService[entry.Service].add(t, r.dataCentre)
	if r.learnsSpeeds {
		r.model(entry.Service)
	}
	return true
}

// Remove deletes a target and reports whether it was registered.
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
	delete(r.byHash, t.incarnationHash)
	r.byService[t.Service].remove(t)
	return true
}

// IDs returns the IDs of all targets, in no particular order.
func (r *Registry) IDs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := make([]string, 0, len(r.byID))
	for id := range r.byID {
		ids = append(ids, id)
	}
	return ids
}

// Has reports whether a target is registered.
func (r *Registry) Has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.byID[id]
	return ok
}

// Entry returns the registration of a target.
func (r *Registry) Entry(id string) (Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.byID[id]
	if !ok {
		return Entry{}, false
	}
	return t.Entry, true
}

// IsRegistered reports whether an incarnation is the registered one of its target.
func (r *Registry) IsRegistered(incarnation string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.byIncarnation[incarnation]
	return ok
}

// AddressOf returns the address of an incarnation, false if it is not the registered one
// of its target.
func (r *Registry) AddressOf(incarnation string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.byIncarnation[incarnation]
	if !ok {
		return "", false
	}
	return t.Address, true
}

// Replaced reports whether another incarnation or version is registered under the ID of
// a target.
func (r *Registry) Replaced(t *Target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	current, ok := r.byID[t.ID]
	return ok && current != t
}

// Begin records that a request is sent to a target.
func (r *Registry) Begin(t *Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.inFlight++
}

// End records that a request has ended.
func (r *Registry) End(t *Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.inFlight--
}

// RecordLoad records a load report received from a target.
func (r *Registry) RecordLoad(t *Target, load call.Load, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setLoad(t, load, now)
	t.relayed = false
	t.direct = directReport{busy: load.Running + load.Waiting, at: now, inFlight: t.inFlight}
	if t.DataCentre == r.dataCentre {
		r.updateLocalUtilization(t, load)
	}
}

// RecordSuccess records a successful response and stops avoiding the target.
func (r *Registry) RecordSuccess(t *Target, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.failures, t.avoidUntil, t.peerAvoidUntil, t.lastSuccessAt = 0, time.Time{}, time.Time{}, now
}

// RecordFailure records that a target was unreachable or aborted a request. The
// target is avoided for a time that grows with consecutive failures.
func (r *Registry) RecordFailure(t *Target, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	wait := min(minAvoidance<<min(t.failures, 8), maxAvoidance)
	t.failures++
	t.avoidUntil = now.Add(wait)
}

// Incarnation returns Entry.Incarnation without formatting it again.
func (t *Target) Incarnation() string { return t.incarnation }

// matches reports whether an entry is of the same incarnation, service, address and
// version.
func (t *Target) matches(entry Entry) bool {
	return t.Service == entry.Service && t.Address == entry.Address && t.Start == entry.Start && t.Version == entry.Version
}

// directReport is a load report that this instance received from the target.
type directReport struct {
	// busy counts the running and waiting requests, inFlight those of this instance.
	busy     int
	at       time.Time
	inFlight int
}

// busy estimates the running and waiting requests from direct reports only: relayed
// ones would move programs away from engines that are full for a moment, and their
// prompts would be processed again.
func (t *Target) busy(now time.Time) float64 {
	if now.Sub(t.direct.at) > maxLoadAge {
		return float64(t.inFlight)
	}
	reported := t.direct.busy + t.inFlight - t.direct.inFlight
	return float64(max(reported, t.inFlight))
}
