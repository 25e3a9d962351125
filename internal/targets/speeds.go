package targets

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/policy"
	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	// speedUnit is the part of a unit of work in which speeds are told.
	speedUnit = 1e-6
	// durationWeight is the weight of an answer in the usual time of its route.
	durationWeight = 0.02
	// maxRoutes bounds the routes whose times are kept for one service.
	maxRoutes = 4096
	// initialRequestDuration is taken for the time of a request until some were seen.
	initialRequestDuration = 200 * time.Millisecond
)

// serviceModel is what is usual for a service whose targets tell their pace.
type serviceModel struct {
	// routes are the times of answers, by route.
	routes map[string]*routeDurations
	// turnEstimates are the usual parts of an engine's turn.
	turnEstimates policy.Estimates
	// requestDuration is the usual time of a request of any kind.
	requestDuration time.Duration
}

// routeDurations are the times of whole plain answers of one route.
type routeDurations struct {
	// mean is their moving mean, in seconds.
	mean    float64
	hedging policy.Stragglers
}

// add takes an answer in and gives its time over the usual one.
func (t *routeDurations) add(duration time.Duration) float64 {
	t.hedging.Add(duration)
	if t.mean == 0 {
		t.mean = duration.Seconds()
	}
	t.mean += durationWeight * (duration.Seconds() - t.mean)
	return duration.Seconds() / t.mean
}

// route finds the times of a route.
func (model *serviceModel) route(name string) *routeDurations {
	durations := model.routes[name]
	if durations == nil {
		if len(model.routes) >= maxRoutes {
			clear(model.routes) // most are of former settings
		}
		durations = new(routeDurations)
		model.routes[name] = durations
	}
	return durations
}

// addDuration takes the time of a request into the usual one.
func (model *serviceModel) addDuration(d time.Duration) {
	model.requestDuration += time.Duration(durationWeight * float64(d-model.requestDuration))
}

// model finds what is usual for a service, or begins to learn it. The mutex is
// held.
func (r *Registry) model(service string) *serviceModel {
	model := r.models[service]
	if model == nil {
		model = &serviceModel{routes: make(map[string]*routeDurations), turnEstimates: policy.NewEstimates(), requestDuration: initialRequestDuration}
		r.models[service] = model
	}
	return model
}

// meanRequestDuration is the usual time of a request to a service. The mutex is held.
func (r *Registry) meanRequestDuration(service string) time.Duration {
	if model := r.models[service]; model != nil {
		return model.requestDuration
	}
	return initialRequestDuration
}

// RecordResponse takes the time of a whole plain answer.
func (r *Registry) RecordResponse(t *Target, route string, duration time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	model := r.models[t.Service]
	if model == nil || duration <= 0 {
		return
	}
	model.addDuration(duration)
	t.speed.Add(model.route(route).add(duration), now)
}

// HedgeTimeout is how long a first send of a request that may run again may take;
// false if there is to be no second one for now.
func (r *Registry) HedgeTimeout(service, route string, now time.Time) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	model := r.models[service]
	if model == nil {
		return 0, false
	}
	return model.route(route).hedging.Patience(r.recentPool(service, now).Utilization)
}

// RecordHedge counts a second send after Patience, and how long the first one took
// at least.
func (r *Registry) RecordHedge(t *Target, route string, duration time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	model := r.models[t.Service]
	if model == nil {
		return
	}
	durations := model.route(route)
	durations.hedging.Again()
	if durations.mean > 0 {
		t.speed.Add(duration.Seconds()/durations.mean, now)
	}
}

// RecordEventInterval takes the time between events of an engine.
func (r *Registry) RecordEventInterval(t *Target, perEvent time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.models[t.Service] != nil {
		t.speed.Add(perEvent.Seconds(), now)
	}
}

// RecordTurn takes a whole turn.
func (r *Registry) RecordTurn(t *Target, sample policy.Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if model := r.models[t.Service]; model != nil {
		model.addDuration(sample.Took)
		model.turnEstimates.Add(sample)
	}
}

// serviceMeans are the means of what is known of a service's targets, 0 where nothing
// is.
type serviceMeans struct{ speed, pace float64 }

func meansOf(all []*Target) serviceMeans {
	var speed, pace mean
	for _, t := range all {
		if !t.speed.At.IsZero() {
			speed.add(t.speed.Mean)
		}
		if t.pace.Middle > 0 {
			pace.add(t.pace.Middle)
		}
	}
	return serviceMeans{speed: speed.value(), pace: pace.value()}
}

// minMeanUtilization is the usual load of a service, in parts of the slots, below which it
// does not matter how even it is.
const minMeanUtilization = 0.02

// meanUtilizations are the means of what the targets of a service usually report, by
// data centre: between these the load itself decides.
func meanUtilizations(all []*Target) map[string]float64 {
	means := make(map[string]*mean)
	for _, t := range all {
		if t.loadAt.IsZero() {
			continue
		}
		if means[t.DataCentre] == nil {
			means[t.DataCentre] = new(mean)
		}
		means[t.DataCentre].add(t.meanUtilization)
	}
	meansByDataCentre := make(map[string]float64, len(means))
	for dataCentre, m := range means {
		meansByDataCentre[dataCentre] = m.value()
	}
	return meansByDataCentre
}

// relativeUtilization is what a target usually has over what those of its data centre have, 1
// while little is known.
func (t *Target) relativeUtilization(meansByDataCentre map[string]float64) float64 {
	localMean := meansByDataCentre[t.DataCentre]
	if t.loadAt.IsZero() || localMean < minMeanUtilization {
		return 1
	}
	return t.meanUtilization / localMean
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
func (t *Target) slowness(means serviceMeans, now time.Time) float64 {
	return t.speed.Slowness(means.speed, t.relativePace(means), now)
}

// relativePace is what the target usually says of its pace, over the usual one.
func (t *Target) relativePace(means serviceMeans) float64 {
	if t.pace.Middle <= 0 {
		return 1
	}
	return t.pace.Middle / means.pace
}

// currentSlowness is the slowness with what the target says of the present.
func (t *Target) currentSlowness(means serviceMeans, now time.Time) float64 {
	slowness := t.slowness(means, now)
	if t.load.Pace <= 0 || means.pace <= 0 {
		return slowness
	}
	return policy.Present(slowness, float64(t.load.Pace)/100/means.pace, now.Sub(t.loadAt))
}

// utilization is the expected number of requests at a target, in parts of its slots.
func (t *Target) utilization(pool float64, requestDuration time.Duration, now time.Time) float64 {
	return policy.Fill(policy.LoadReport{
		Busy: t.load.Running + t.load.Waiting, Since: t.inFlight - t.inFlightAtLoad, Own: t.inFlight,
		Slots: t.Slots, Usual: t.meanUtilization, Known: !t.loadAt.IsZero(), Age: now.Sub(t.loadAt),
	}, pool, requestDuration)
}

// report is what others are told of a target.
func (t *Target) report(means serviceMeans, now time.Time) structs.TargetReport {
	report := structs.TargetReport{
		Target: t.incarnationHash, Running: t.load.Running, Waiting: t.load.Waiting, Pace: t.load.Pace, Age: now.Sub(t.loadAt),
	}
	if speed := t.speed.Told(means.speed, t.relativePace(means)); speed > 0 {
		report.Speed, report.SpeedAge = int(speed/speedUnit), now.Sub(t.speed.At)
	}
	return report
}

// mergeSpeed takes what another instance learned of a target. The mutex is held.
func (r *Registry) mergeSpeed(t *Target, report structs.TargetReport, now time.Time) {
	if report.Speed > 0 {
		t.speed.Hear(float64(report.Speed)*speedUnit, now.Add(-max(report.SpeedAge, 0)))
	}
}
