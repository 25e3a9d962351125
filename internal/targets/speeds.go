package targets

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/policy"
	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	// speedUnit is the unit of speeds in target reports.
	speedUnit = 1e-6
	// durationWeight is the weight of one sample in moving averages of durations.
	durationWeight = 0.02
	// maxRoutes limits the routes with stored durations per service.
	maxRoutes = 4096
	// initialRequestDuration is the assumed duration of a request before any was
	// measured.
	initialRequestDuration = 200 * time.Millisecond
)

// serviceModel holds the averages of a service whose targets' speeds are learned.
type serviceModel struct {
	// routes holds the durations of plain responses, by route.
	routes map[string]*routeDurations
	// turnEstimates are the expected durations of the phases of an engine's turn.
	turnEstimates policy.Estimates
	// requestDuration is the mean duration of requests of all kinds.
	requestDuration time.Duration
}

// routeDurations tracks the durations of complete plain responses of a route.
type routeDurations struct {
	// mean is the moving average, in seconds.
	mean    float64
	hedging policy.Hedger
}

// add records a duration and returns it relative to the mean.
func (t *routeDurations) add(duration time.Duration) float64 {
	t.hedging.Add(duration)
	if t.mean == 0 {
		t.mean = duration.Seconds()
	}
	t.mean += durationWeight * (duration.Seconds() - t.mean)
	return duration.Seconds() / t.mean
}

// route returns the durations of a route, creating them if needed.
func (model *serviceModel) route(name string) *routeDurations {
	durations := model.routes[name]
	if durations == nil {
		if len(model.routes) >= maxRoutes {
			clear(model.routes) // most belong to removed routes
		}
		durations = new(routeDurations)
		model.routes[name] = durations
	}
	return durations
}

// addDuration adds a sample to requestDuration.
func (model *serviceModel) addDuration(d time.Duration) {
	model.requestDuration += time.Duration(durationWeight * float64(d-model.requestDuration))
}

// model returns the model of a service, creating it if needed. The mutex must be
// held.
func (r *Registry) model(service string) *serviceModel {
	model := r.models[service]
	if model == nil {
		model = &serviceModel{routes: make(map[string]*routeDurations), turnEstimates: policy.NewEstimates(), requestDuration: initialRequestDuration}
		r.models[service] = model
	}
	return model
}

// meanRequestDuration returns the mean duration of requests to a service. The mutex
// must be held.
func (r *Registry) meanRequestDuration(service string) time.Duration {
	if model := r.models[service]; model != nil {
		return model.requestDuration
	}
	return initialRequestDuration
}

// RecordResponse records the duration of a complete plain response.
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

// HedgeTimeout returns how long the first send of a repeatable request may take
// before it is given up for a hedged send. It returns false if no hedged send is
// allowed now.
func (r *Registry) HedgeTimeout(service, route string, now time.Time) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	model := r.models[service]
	if model == nil {
		return 0, false
	}
	return model.route(route).hedging.HedgeDelay(r.recentPool(service, now).Utilization)
}

// RecordHedge records a hedged send. duration is how long the first send, to t,
// took before it was given up.
func (r *Registry) RecordHedge(t *Target, route string, duration time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	model := r.models[t.Service]
	if model == nil {
		return
	}
	durations := model.route(route)
	durations.hedging.RecordHedge()
	if durations.mean > 0 {
		t.speed.Add(duration.Seconds()/durations.mean, now)
	}
}

// RecordEventInterval records the mean time between events of an engine's stream.
func (r *Registry) RecordEventInterval(t *Target, perEvent time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.models[t.Service] != nil {
		t.speed.Add(perEvent.Seconds(), now)
	}
}

// RecordTurn records a completed turn.
func (r *Registry) RecordTurn(t *Target, sample policy.RunSample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if model := r.models[t.Service]; model != nil {
		model.addDuration(sample.Duration)
		model.turnEstimates.Add(sample)
	}
}

// serviceMeans holds the mean speed and pace of a service's targets, 0 if unknown.
type serviceMeans struct{ speed, pace float64 }

func meansOf(all []*Target) serviceMeans {
	var speed, pace mean
	for _, t := range all {
		if !t.speed.UpdatedAt.IsZero() {
			speed.add(t.speed.Mean)
		}
		if t.pace.Value > 0 {
			pace.add(t.pace.Value)
		}
	}
	return serviceMeans{speed: speed.value(), pace: pace.value()}
}

// minMeanUtilization is the mean utilization below which the balance of targets is
// ignored.
const minMeanUtilization = 0.02

// meanUtilizations returns the mean of the targets' average utilizations by data
// centre. Differences between data centres are left to the selection by load.
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

// relativeUtilization returns the average utilization relative to the mean of the
// data centre, or 1 if too little is known.
func (t *Target) relativeUtilization(meansByDataCentre map[string]float64) float64 {
	localMean := meansByDataCentre[t.DataCentre]
	if t.loadAt.IsZero() || localMean < minMeanUtilization {
		return 1
	}
	return t.meanUtilization / localMean
}

// mean is an arithmetic mean.
type mean struct {
	sum float64
	n   int
}

func (m *mean) add(value float64) { m.sum, m.n = m.sum+value, m.n+1 }

// value returns the mean, 0 without samples.
func (m *mean) value() float64 { return m.sum / max(float64(m.n), 1) }

// slowness returns the target's time for a unit of work relative to the mean,
// without its current pace.
func (t *Target) slowness(means serviceMeans, now time.Time) float64 {
	return t.speed.Slowness(means.speed, t.relativePace(means), now)
}

// relativePace returns the typical pace that the target reports, relative to the
// mean.
func (t *Target) relativePace(means serviceMeans) float64 {
	if t.pace.Value <= 0 {
		return 1
	}
	return t.pace.Value / means.pace
}

// currentSlowness is the slowness adjusted by the pace in the newest report.
func (t *Target) currentSlowness(means serviceMeans, now time.Time) float64 {
	slowness := t.slowness(means, now)
	if t.load.Pace <= 0 || means.pace <= 0 {
		return slowness
	}
	return policy.CurrentSlowness(slowness, float64(t.load.Pace)/100/means.pace, now.Sub(t.loadAt))
}

// utilization estimates the number of requests at a target as a fraction of its
// slots.
func (t *Target) utilization(pool float64, requestDuration time.Duration, now time.Time) float64 {
	return policy.ExpectedUtilization(policy.LoadReport{
		Busy: t.load.Running + t.load.Waiting, OwnDelta: t.inFlight - t.inFlightAtLoad, OwnInFlight: t.inFlight,
		Slots: t.Slots, TypicalUtilization: t.meanUtilization, HasReport: !t.loadAt.IsZero(), Age: now.Sub(t.loadAt),
	}, pool, requestDuration)
}

// report returns what other instances are sent about a target.
func (t *Target) report(means serviceMeans, now time.Time) structs.TargetReport {
	report := structs.TargetReport{
		Target: t.incarnationHash, Running: t.load.Running, Waiting: t.load.Waiting, Slowdown: t.load.Pace, Age: now.Sub(t.loadAt),
	}
	if speed := t.speed.AdvertisedMean(means.speed, t.relativePace(means)); speed > 0 {
		report.UnitTime, report.UnitTimeAge = int(speed/speedUnit), now.Sub(t.speed.UpdatedAt)
	}
	return report
}

// mergeSpeed applies a speed measured by another instance. The mutex must be held.
func (r *Registry) mergeSpeed(t *Target, report structs.TargetReport, now time.Time) {
	if report.UnitTime > 0 {
		t.speed.MergeRemote(float64(report.UnitTime)*speedUnit, now.Add(-max(report.UnitTimeAge, 0)))
	}
}
