package targets

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/policy"
)

// chooseByEnd chooses a target of a service whose targets tell their pace, by
// when each is expected to end the request. The mutex is held.
func (r *Registry) chooseByEnd(w *work, all []*Target, want Criteria, now time.Time, includeAvoided bool) *Target {
	pool := r.pool(want.Service, now).Utilization
	fills := usualFills(all)
	usual := usualOf(all)
	warm := want.warm(all)
	r.options = r.options[:0]
	for _, t := range all {
		kept := r.connections.HasIdle(t.Address, now)
		last := t.incarnation == want.LastIncarnation
		slowness := t.present(usual, now)
		if last {
			// A program does not move for what passes in parts of a second.
			slowness = t.slowness(usual, now)
		}
		r.options = append(r.options, policy.TargetOption{
			Utilization: t.fill(pool, w.request, now), Slowness: slowness, RelativeLoad: t.share(fills),
			NeedsConnection: !kept, Remote: t.DataCentre != r.dataCentre, Cold: t.ColdRemaining > 0,
			HasPrompt: last, Warm: t == warm,
			Excluded: t.Draining || slices.Contains(want.Exclude, t.incarnation) || (!includeAvoided && t.avoided(now)),
			Rank:     r.order(t, kept || !want.Stream),
		})
	}
	choice := policy.ChooseTarget(r.options, w.needs(want))
	if choice.Index < 0 {
		return nil
	}
	want.Explanation.fill(r.options, all, choice, now)
	return all[choice.Index]
}

// order ranks targets that are alike: by chance, or by an order that differs
// between instances, so that each keeps connections to a few engines.
func (r *Registry) order(t *Target, chance bool) float64 {
	if chance {
		return rand.Float64()
	}
	return rank(r.seed, t.ID)
}

// Explanation is what spoke for a target where the expected ends decide.
type Explanation struct {
	// Estimated tells that the expected ends decided.
	Estimated bool
	// ExpectedEnd and RunnerUpCompletion are when the target and the best other one are expected to
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

// fill takes a choice; a nil Why stays.
func (y *Explanation) fill(options []policy.TargetOption, all []*Target, choice policy.TargetChoice, now time.Time) {
	if y == nil {
		return
	}
	t, o := all[choice.Index], options[choice.Index]
	*y = Explanation{
		Estimated: true, ExpectedEnd: choice.Completion, RunnerUpEnd: choice.RunnerUpCompletion, Utilization: o.Utilization, Slowness: o.Slowness,
		ReportAge: age(t.loadAt, now), SpeedAge: age(t.speed.UpdatedAt, now), Stayed: choice.Stayed, Moved: choice.Moved,
	}
	if choice.RunnerUp >= 0 {
		y.RunnerUp = all[choice.RunnerUp].ID
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

// warm is the target that its key ranks first, which all instances find without
// asking; nil for a program, of which the engine is remembered, and without a key.
func (w Criteria) warm(all []*Target) *Target {
	if w.Key == "" || w.Sticky {
		return nil
	}
	var first best
	for _, t := range all {
		if !t.Draining {
			first.offer(t, rank(w.Key, t.ID))
		}
	}
	return first.target
}

// needs is what a request needs of a service, in parts of its usual time.
func (w *work) needs(want Criteria) policy.RequestProfile {
	if !want.Stream {
		return policy.RequestProfile{}
	}
	read := w.turns.PrefillPerToken * time.Duration(want.PromptTokens)
	answer := w.turns.ExpectedTime(0, int64(w.turns.Tokens))
	return policy.RequestProfile{Batched: true, PromptCost: read.Seconds() / max(answer, time.Millisecond).Seconds()}
}

// avoided tells whether requests are kept away from a target.
func (t *Target) avoided(now time.Time) bool {
	return now.Before(t.avoidUntil) || now.Before(t.heardUntil)
}
