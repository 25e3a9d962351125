package proofs

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/testkit"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// contendedPath is the setting that operators change concurrently.
const contendedPath = teamPath + "/max_queued"

func settingsScenarios() []Scenario {
	return []Scenario{
		{Name: "settings-race", Description: "operators race from two instances, with lost replies of the log", Instances: 3, Quick: true, Run: runSettingsRace},
		{Name: "settings-replaced", Description: "a change accepted just before every instance is replaced", Instances: 3, Run: runSettingsReplaced},
		{Name: "start-while-log-down", Description: "a new instance starts while the log is down", Instances: 3, Run: runStartWhileLogDown},
		{Name: "budget-takeover", Description: "budget raised and lowered during takeovers", Instances: 3,
			Budget: Program{Fees: 4}, Run: runBudgetTakeover},
	}
}

// runSettingsRace lets two operators repeatedly propose different values for the same
// base version at the same time.
func runSettingsRace(ctx context.Context, r *Rig) error {
	const rounds = 12
	instances := r.instancesExcept(nil)
	base := uint64(0)
	for round := range rounds {
		if round%3 == 1 {
			r.SetLogFaults(wire.LogFaults{DropAppendReplies: 1, Stream: "settings"})
		}
		var changes [2]Change
		var group sync.WaitGroup
		for i := range changes {
			value := strconv.Itoa(1000 + 2*round + i)
			at := instances[(round+i)%len(instances)]
			group.Go(func() { changes[i] = r.propose(ctx, at, contendedPath, base, value) })
		}
		group.Wait()
		if changes[0].Accepted && changes[1].Accepted {
			return errors.Newf("both proposals on base %d were accepted", base)
		}
		next, err := r.nextBase(ctx, instances, base)
		if err != nil {
			return err
		}
		base = next
	}
	return r.waitInForce(ctx, contendedPath, base)
}

// nextBase waits until every instance has a newer version than base, and returns the
// newest.
func (r *Rig) nextBase(ctx context.Context, instances []*testkit.Process, base uint64) (uint64, error) {
	newest := uint64(0)
	err := r.WaitUntil(ctx, "a newer version at all instances", func() bool {
		for _, p := range instances {
			found, ok := r.setting(ctx, p, contendedPath)
			if !ok || found.Version <= base {
				return false
			}
			newest = max(newest, found.Version)
		}
		return true
	})
	return newest, err
}

// runSettingsReplaced replaces all instances right after a change is accepted.
func runSettingsReplaced(ctx context.Context, r *Rig) error {
	base := uint64(0)
	for round := range 2 {
		old := r.instancesExcept(nil)
		change := r.propose(ctx, old[round], contendedPath, base, strconv.Itoa(2000+round))
		if !change.Accepted {
			return errors.Newf("the change was not accepted: %+v", change)
		}
		for _, p := range old {
			r.Kill(p, false)
		}
		r.setEndpoints()
		for range old {
			if _, err := r.Add(ctx); err != nil {
				return err
			}
		}
		if err := r.waitInForce(ctx, contendedPath, change.Version); err != nil {
			return err
		}
		base = change.Version
	}
	return r.StartLoad(ctx, 2, 3).Wait()
}

// runStartWhileLogDown starts an instance during an outage of the log. It may become
// ready only with the settings that were accepted before.
func runStartWhileLogDown(ctx context.Context, r *Rig) error {
	change := r.propose(ctx, r.randomInstance(), contendedPath, 0, "3000")
	if !change.Accepted {
		return errors.Newf("the change was not accepted: %+v", change)
	}
	var agents []*agent
	for range typicalPrograms {
		a, err := r.newAgent(ctx, r.newRand())
		if err != nil {
			return err
		}
		agents = append(agents, a)
	}
	r.SetLogFaults(wire.LogFaults{Down: true})
	r.sleep(ctx, outageDuration/4)
	p, err := r.AddUnready()
	if err != nil {
		return err
	}
	err = r.watchStart(ctx, p, change.Version)
	// Programs with a running owner are still served, including those whose shards
	// are now assigned to the new instance.
	for _, a := range agents {
		if got := a.tool(ctx, 0); err == nil && !got.Outcome.answered() {
			err = errors.Newf("a repeatable call during the outage got %s %s", got.Outcome, got.Reason)
		}
	}
	r.SetLogFaults(wire.LogFaults{})
	if err != nil {
		return err
	}
	if err := r.WaitReady(ctx, p); err != nil {
		return err
	}
	r.setEndpoints(endpointOf(p))
	err = r.waitInForce(ctx, contendedPath, change.Version)
	for _, a := range agents {
		err = errors.CombineErrors(err, a.verifyUsable(ctx))
	}
	return err
}

// watchStart polls a starting instance for the duration of an outage. Whenever it is
// ready it must have the accepted version.
func (r *Rig) watchStart(ctx context.Context, p *testkit.Process, version uint64) error {
	for until := time.Now().Add(outageDuration); time.Now().Before(until); r.sleep(ctx, retryInterval) {
		if !isReady(ctx, p) {
			continue
		}
		found, ok := r.setting(ctx, p, contendedPath)
		if !ok || found.Version < version {
			return errors.Newf("the instance is ready with version %d, but version %d was accepted", found.Version, version)
		}
	}
	return nil
}

// runBudgetTakeover raises and then lowers the fees that a program may spend, and
// kills the owner right after each change is accepted.
func runBudgetTakeover(ctx context.Context, r *Rig) error {
	const path = teamPath + "/program_fees"
	const raised, lowered = 10, 7
	r.budget.Fees = lowered
	a, err := r.newAgent(ctx, r.newRand())
	if err != nil {
		return err
	}
	if err := a.submitUntilRefused(ctx, 4, 4); err != nil {
		return err
	}
	for i, limit := range []int{raised, lowered} {
		now, ok := r.setting(ctx, r.randomInstance(), path)
		if !ok {
			return errors.New("cannot read the fee limit")
		}
		change := r.propose(ctx, r.randomInstance(), path, now.Version, strconv.Itoa(limit))
		if !change.Accepted {
			return errors.Newf("the change was not accepted: %+v", change)
		}
		owner, err := r.waitOwner(ctx, a.program.ID)
		if err != nil {
			return err
		}
		if err := r.Replace(ctx, owner); err != nil {
			return err
		}
		if err := r.waitInForce(ctx, path, change.Version); err != nil {
			return err
		}
		if i == 0 {
			if got := a.submitFiling(ctx, 1, 0); !got.Outcome.answered() {
				return errors.Newf("a filing within the raised limit got %s %s", got.Outcome, got.Reason)
			}
		}
	}
	// A takeover counts the reservations of the killed owner as spent, so that less
	// than the unpaid rest may be left.
	if err := a.submitUntilRefused(ctx, 0, lowered-5); err != nil {
		return err
	}
	return a.close(ctx)
}

// submitUntilRefused submits filings of fee 1 until the budget refuses one. The number
// of answered filings must be between minFilings and maxFilings.
func (a *agent) submitUntilRefused(ctx context.Context, minFilings, maxFilings int) error {
	for i := 0; ; i++ {
		got := a.submitFiling(ctx, 1, 0)
		switch {
		case got.Outcome == NotRun && got.Reason == reasonBudget && i >= minFilings:
			return nil
		case !got.Outcome.answered():
			return errors.Newf("after %d filings one got %s %s", i, got.Outcome, got.Reason)
		case i >= maxFilings:
			return errors.Newf("more than %d filings were answered", maxFilings)
		}
	}
}
