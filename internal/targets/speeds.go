package targets

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/policy"
	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	// speedUnit is the part of a unit of work in which speeds are told.
	speedUnit = 1e-6
	// routeGain is the weight of an answer in the usual time of its route.
	routeGain = 0.02
	// maxRoutes bounds the routes whose times are kept for one service.
	maxRoutes = 4096
	// initialRequest is taken for the time of a request until some were seen.
	initialRequest = 200 * time.Millisecond
)

// work is what is usual for a service whose targets tell their pace.
type work struct {
	// routes are the times of answers, by route.
	routes map[string]*routeTimes
	// turns are the usual parts of an engine's turn.
	turns policy.Estimates
	// request is the usual time of a request of any kind.
	request time.Duration
}

// routeTimes are the times of whole plain answers of one route.
type routeTimes struct {
	// usual is their moving mean, in seconds.
	usual      float64
	stragglers policy.Hedger
}

// add takes an answer in and gives its time over the usual one.
func (t *routeTimes) add(took time.Duration) float64 {
	t.stragglers.Add(took)
	if t.usual == 0 {
		t.usual = took.Seconds()
	}
	t.usual += routeGain * (took.Seconds() - t.usual)
	return took.Seconds() / t.usual
}

// route finds the times of a route.
func (w *work) route(name string) *routeTimes {
	times := w.routes[name]
	if times == nil {
		if len(w.routes) >= maxRoutes {
			clear(w.routes) // most are of former settings
		}
		times = new(routeTimes)
		w.routes[name] = times
	}
	return times
}

// took takes the time of a request into the usual one.
func (w *work) took(d time.Duration) {
	w.request += time.Duration(routeGain * float64(d-w.request))
}

// work finds what is usual for a service, or begins to learn it. The mutex is
// held.
func (r *Registry) work(service string) *work {
	w := r.works[service]
	if w == nil {
		w = &work{routes: make(map[string]*routeTimes), turns: policy.NewEstimates(), request: initialRequest}
		r.works[service] = w
	}
	return w
}

// usualRequest is the usual time of a request to a service. The mutex is held.
func (r *Registry) usualRequest(service string) time.Duration {
	if w := r.works[service]; w != nil {
		return w.request
	}
	return initialRequest
}

// RecordResponse takes the time of a whole plain answer.
func (r *Registry) RecordResponse(t *Target, route string, took time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.works[t.Service]
	if w == nil || took <= 0 {
		return
	}
	w.took(took)
	t.speed.Add(w.route(route).add(took), now)
}

// HedgeTimeout is how long a first send of a request that may run again may take;
// false if there is to be no second one for now.
func (r *Registry) HedgeTimeout(service, route string, now time.Time) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.works[service]
	if w == nil {
		return 0, false
	}
	return w.route(route).stragglers.HedgeDelay(r.pool(service, now).Utilization)
}

// RecordHedge counts a second send after Patience, and how long the first one took
// at least.
func (r *Registry) RecordHedge(t *Target, route string, took time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.works[t.Service]
	if w == nil {
		return
	}
	times := w.route(route)
	times.stragglers.RecordHedge()
	if times.usual > 0 {
		t.speed.Add(took.Seconds()/times.usual, now)
	}
}

// RecordEventInterval takes the time between events of an engine.
func (r *Registry) RecordEventInterval(t *Target, perEvent time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.works[t.Service] != nil {
		t.speed.Add(perEvent.Seconds(), now)
	}
}

// RecordTurn takes a whole turn.
func (r *Registry) RecordTurn(t *Target, sample policy.RunSample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.works[t.Service]; w != nil {
		w.took(sample.Took)
		w.turns.Add(sample)
	}
}

// usual are the means of what is known of a service's targets, 0 where nothing
// is.
type usual struct{ speed, standing float64 }

func usualOf(all []*Target) usual {
	var speed, standing mean
	for _, t := range all {
		if !t.speed.UpdatedAt.IsZero() {
			speed.add(t.speed.Mean)
		}
		if t.standing.Value > 0 {
			standing.add(t.standing.Value)
		}
	}
	return usual{speed: speed.value(), standing: standing.value()}
}

// leastFill is the usual load of a service, in parts of the slots, below which it
// does not matter how even it is.
const leastFill = 0.02

// usualFills are the means of what the targets of a service usually report, by
// data centre: between these the load itself decides.
func usualFills(all []*Target) map[string]float64 {
	means := make(map[string]*mean)
	for _, t := range all {
		if t.loadAt.IsZero() {
			continue
		}
		if means[t.DataCentre] == nil {
			means[t.DataCentre] = new(mean)
		}
		means[t.DataCentre].add(t.usualFill)
	}
	fills := make(map[string]float64, len(means))
	for dataCentre, m := range means {
		fills[dataCentre] = m.value()
	}
	return fills
}

// share is what a target usually has over what those of its data centre have, 1
// while little is known.
func (t *Target) share(fills map[string]float64) float64 {
	usual := fills[t.DataCentre]
	if t.loadAt.IsZero() || usual < leastFill {
		return 1
	}
	return t.usualFill / usual
}

// mean is that of the values added.
type mean struct {
	sum float64
	n   int
}

func (m *mean) add(value float64) { m.sum, m.n = m.sum+value, m.n+1 }

// value is 0 if none was added.
func (m *mean) value() float64 { return m.sum / max(float64(m.n), 1) }

// slowness is the target's time for the same work over the usual one, apart from
// what it says of the present.
func (t *Target) slowness(u usual, now time.Time) float64 {
	return t.speed.Slowness(u.speed, t.says(u), now)
}

// says is what the target usually says of its pace, over the usual one.
func (t *Target) says(u usual) float64 {
	if t.standing.Value <= 0 {
		return 1
	}
	return t.standing.Value / u.standing
}

// present is the slowness with what the target says of the present.
func (t *Target) present(u usual, now time.Time) float64 {
	slowness := t.slowness(u, now)
	if t.load.Pace <= 0 || u.standing <= 0 {
		return slowness
	}
	return policy.CurrentSlowness(slowness, float64(t.load.Pace)/100/u.standing, now.Sub(t.loadAt))
}

// fill is the expected number of requests at a target, in parts of its slots.
func (t *Target) fill(pool float64, request time.Duration, now time.Time) float64 {
	return policy.ExpectedUtilization(policy.LoadReport{
		Busy: t.load.Running + t.load.Waiting, OwnDelta: t.inFlight - t.inFlightAtLoad, OwnInFlight: t.inFlight,
		Slots: t.Slots, TypicalUtilization: t.usualFill, HasReport: !t.loadAt.IsZero(), Age: now.Sub(t.loadAt),
	}, pool, request)
}

// report is what others are told of a target.
func (t *Target) report(u usual, now time.Time) structs.TargetReport {
	report := structs.TargetReport{
		Target: t.hash, Running: t.load.Running, Waiting: t.load.Waiting, Slowdown: t.load.Pace, Age: now.Sub(t.loadAt),
	}
	if told := t.speed.AdvertisedMean(u.speed, t.says(u)); told > 0 {
		report.UnitTime, report.UnitTimeAge = int(told/speedUnit), now.Sub(t.speed.UpdatedAt)
	}
	return report
}

// hearSpeed takes what another instance learned of a target. The mutex is held.
func (r *Registry) hearSpeed(t *Target, report structs.TargetReport, now time.Time) {
	if report.UnitTime > 0 {
		t.speed.MergeRemote(float64(report.UnitTime)*speedUnit, now.Add(-max(report.UnitTimeAge, 0)))
	}
}
