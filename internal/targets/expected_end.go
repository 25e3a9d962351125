package targets

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/policy"
)

// chooseByEnd chooses a target of a service whose targets tell their pace, by
// when each is expected to end the request. The mutex is held.
func (r *Registry) chooseByEnd(model *serviceModel, all []*Target, criteria Criteria, now time.Time, includeAvoided bool) *Target {
	pool := r.recentPool(criteria.Service, now).Utilization
	means := meanUtilizations(all)
	serviceMeans := meansOf(all)
	preferred := criteria.preferred(all)
	r.endOptions = r.endOptions[:0]
	for _, t := range all {
		hasIdle := r.connections.Kept(t.Address, now)
		last := t.incarnation == criteria.LastIncarnation
		slowness := t.currentSlowness(serviceMeans, now)
		if last {
			// A program does not move for what passes in parts of a second.
			slowness = t.slowness(serviceMeans, now)
		}
		r.endOptions = append(r.endOptions, policy.EndOption{
			Fill: t.utilization(pool, model.requestDuration, now), Slowness: slowness, Share: t.relativeUtilization(means),
			Opens: !hasIdle, Far: t.DataCentre != r.dataCentre, Cold: t.ColdRemaining > 0,
			Last: last, Warm: t == preferred,
			Shut: t.Draining || slices.Contains(criteria.Exclude, t.incarnation) || (!includeAvoided && t.avoided(now)),
			Rank: r.tieBreak(t, hasIdle || !criteria.Stream),
		})
	}
	choice := policy.ByEnd(r.endOptions, model.endRequest(criteria))
	if choice.Index < 0 {
		return nil
	}
	criteria.Explanation.set(r.endOptions, all, choice, now)
	return all[choice.Index]
}

// tieBreak ranks targets that are alike: by chance, or by an order that differs
// between instances, so that each keeps connections to a few engines.
func (r *Registry) tieBreak(t *Target, random bool) float64 {
	if random {
		return rand.Float64()
	}
	return rank(r.seed, t.ID)
}

// Explanation is what spoke for a target where the expected ends decide.
type Explanation struct {
	// Estimated tells that the expected ends decided.
	Estimated bool
	// ExpectedEnd and RunnerUpEnd are when the target and the best other one are expected to
	// end the request, in parts of its usual time.
	ExpectedEnd, RunnerUpEnd float64
	// RunnerUp is the id of the best other one, empty for none.
	RunnerUp string
	// Utilization and Slowness are the estimate of the target, ReportAge and SpeedAge the
	// ages of what it rests on.
	Utilization, Slowness float64
	ReportAge, SpeedAge   time.Duration
	// Stayed tells that the program stays, Moved that it leaves its target.
	Stayed, Moved bool
}

// set takes a choice; a nil Why stays.
func (e *Explanation) set(options []policy.EndOption, all []*Target, choice policy.EndChoice, now time.Time) {
	if e == nil {
		return
	}
	t, o := all[choice.Index], options[choice.Index]
	*e = Explanation{
		Estimated: true, ExpectedEnd: choice.End, RunnerUpEnd: choice.NextEnd, Utilization: o.Fill, Slowness: o.Slowness,
		ReportAge: age(t.loadAt, now), SpeedAge: age(t.speed.At, now), Stayed: choice.Stayed, Moved: choice.Moved,
	}
	if choice.Next >= 0 {
		e.RunnerUp = all[choice.Next].ID
	}
}

// unknownAge stands for the age of what is not known.
const unknownAge = -time.Second

// age is the time since an event, unknownAge if there was none.
func age(at, now time.Time) time.Duration {
	if at.IsZero() {
		return unknownAge
	}
	return now.Sub(at)
}

// preferred is the target that its key ranks first, which all instances find without
// asking; nil for a program, of which the engine is remembered, and without a key.
func (c Criteria) preferred(all []*Target) *Target {
	if c.Key == "" || c.Sticky {
		return nil
	}
	var first best
	for _, t := range all {
		if !t.Draining {
			first.offer(t, rank(c.Key, t.ID))
		}
	}
	return first.target
}

// endRequest is what a request needs of a service, in parts of its usual time.
func (model *serviceModel) endRequest(criteria Criteria) policy.EndRequest {
	if !criteria.Stream {
		return policy.EndRequest{}
	}
	read := model.turnEstimates.PrefillPerToken * time.Duration(criteria.PromptTokens)
	response := model.turnEstimates.Expected(0, int64(model.turnEstimates.Tokens))
	return policy.EndRequest{Batched: true, Read: read.Seconds() / max(response, time.Millisecond).Seconds()}
}

// avoided tells whether requests are kept away from a target.
func (t *Target) avoided(now time.Time) bool {
	return now.Before(t.avoidUntil) || now.Before(t.peerAvoidUntil)
}
