package targets

import (
	"math/rand/v2"
	"time"

	"github.com/banyanglade/banyanglade/internal/policy"
)

// chooseByCompletion selects the target with the earliest expected completion of the
// request. It is used for services whose targets' speeds are learned. The mutex must be
// held.
func (r *Registry) chooseByCompletion(model *serviceModel, all []*Target, criteria Criteria, now time.Time, includeAvoided bool) *Target {
	pool := r.recentPool(criteria.Service, now).Utilization
	meanUtilizationByDataCentre := meanUtilizations(all)
	means := meansOf(all)
	preferred := criteria.preferred(all)
	r.targetOptions = r.targetOptions[:0]
	for _, t := range all {
		hasIdle := r.connections.HasIdle(t.Address, now)
		last := t.incarnation == criteria.LastIncarnation
		slowness := t.currentSlowness(means, now)
		if last {
			// Short slowdowns must not move a program from its target.
			slowness = t.slowness(means, now)
		}
		r.targetOptions = append(r.targetOptions, policy.TargetOption{
			Utilization: t.utilization(pool, model.requestDuration, now), Slowness: slowness, RelativeLoad: t.relativeUtilization(meanUtilizationByDataCentre),
			NeedsConnection: !hasIdle, Remote: t.DataCentre != r.dataCentre, Cold: t.ColdRemaining > 0,
			HasPrompt: last, Warm: t == preferred,
			Excluded: !criteria.allows(t) || (!includeAvoided && t.avoided(now)),
			Rank:     r.tieBreak(t, hasIdle || !criteria.Stream),
		})
	}
	choice := policy.ChooseTarget(r.targetOptions, model.requestProfile(criteria))
	if choice.Index < 0 {
		return nil
	}
	criteria.Explanation.set(r.targetOptions, all, choice, now)
	return all[choice.Index]
}

// tieBreak ranks equivalent targets: at random, or in a fixed order that differs
// between instances, so that each instance keeps connections to a few engines.
func (r *Registry) tieBreak(t *Target, random bool) float64 {
	if random {
		return rand.Float64()
	}
	return rank(r.seed, t.ID)
}

// Explanation describes why a target was selected by its expected completion.
type Explanation struct {
	// Estimated indicates that the target was selected by its expected completion.
	Estimated bool
	// ExpectedCompletion and RunnerUpCompletion are the expected completions at the
	// selected and at the second best target, as a fraction of the mean request
	// duration.
	ExpectedCompletion, RunnerUpCompletion float64
	// RunnerUp is the ID of the second best target, empty if there was none.
	RunnerUp string
	// Utilization and Slowness are the estimates for the selected target, ReportAge and
	// SpeedAge the ages of the data behind them, -1s if there is none.
	Utilization, Slowness float64
	ReportAge, SpeedAge   time.Duration
	// Stayed indicates that the program stays at its last target, Moved that it leaves
	// it.
	Stayed, Moved bool
}

// set records a selection. It does nothing on a nil Explanation.
func (e *Explanation) set(options []policy.TargetOption, all []*Target, choice policy.TargetChoice, now time.Time) {
	if e == nil {
		return
	}
	t, o := all[choice.Index], options[choice.Index]
	*e = Explanation{
		Estimated: true, ExpectedCompletion: choice.Completion, RunnerUpCompletion: choice.RunnerUpCompletion, Utilization: o.Utilization, Slowness: o.Slowness,
		ReportAge: age(t.loadAt, now), SpeedAge: age(t.unitTime.UpdatedAt, now), Stayed: choice.Stayed, Moved: choice.Moved,
	}
	if choice.RunnerUp >= 0 {
		e.RunnerUp = all[choice.RunnerUp].ID
	}
}

// unknownAge is the age of data that was never received.
const unknownAge = -time.Second

// age returns the time since an event, or unknownAge if at is zero.
func age(at, now time.Time) time.Duration {
	if at.IsZero() {
		return unknownAge
	}
	return now.Sub(at)
}

// preferred returns the target with the highest rank for the key, on which all
// instances agree without coordination. It is nil without a key, and for sticky
// requests.
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

// requestProfile returns the work of a request, relative to the mean response time.
func (model *serviceModel) requestProfile(criteria Criteria) policy.RequestProfile {
	if !criteria.Stream {
		return policy.RequestProfile{}
	}
	prefill := model.turnEstimates.PrefillPerToken * time.Duration(criteria.PromptTokens)
	response := model.turnEstimates.ExpectedTime(0, int64(model.turnEstimates.CompletionTokens))
	return policy.RequestProfile{Batched: true, PromptCost: prefill.Seconds() / max(response, time.Millisecond).Seconds()}
}

// avoided reports whether the target should not receive requests: it recently failed, or a
// request runs there that may end it.
func (t *Target) avoided(now time.Time) bool { return t.failing(now) || t.isolated > 0 }

// failing reports whether the target recently failed.
func (t *Target) failing(now time.Time) bool {
	return now.Before(t.avoidUntil) || now.Before(t.peerAvoidUntil)
}
