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

// racedPath is the setting that operators race for.
const racedPath = teamPath + "/max_queued"

func settingsScenarios() []Scenario {
	return []Scenario{
		{Name: "settings-race", Description: "operators race from two instances, with lost replies of the log", Instances: 3, Quick: true, Run: runSettingsRace},
		{Name: "settings-replaced", Description: "a change accepted just before every instance is replaced", Instances: 3, Run: runSettingsReplaced},
		{Name: "start-while-log-down", Description: "a new instance starts while the log is down", Instances: 3, Run: runStartWhileLogDown},
		{Name: "budget-takeover", Description: "budget raised and lowered during takeovers", Instances: 3,
			Budget: Program{Fees: 4}, Run: runBudgetTakeover},
	}
}

// runSettingsRace lets two operators propose different values on the same base
// at the same time, again and again.
func runSettingsRace(ctx context.Context, r *Rig) error {
	const rounds = 12
	instances := r.others(nil)
	base := uint64(0)
	for round := range rounds {
		if round%3 == 1 {
			r.SetLog(wire.LogFaults{DropAppendReplies: 1, Stream: "settings"})
		}
		var heard [2]Change
		var group sync.WaitGroup
		for i := range heard {
			value := strconv.Itoa(1000 + 2*round + i)
			at := instances[(round+i)%len(instances)]
			group.Go(func() { heard[i] = r.propose(ctx, at, racedPath, base, value) })
		}
		group.Wait()
		if heard[0].Accepted && heard[1].Accepted {
			return errors.Newf("both proposals on base %d were accepted", base)
		}
		next, err := r.nextBase(ctx, instances, base)
		if err != nil {
			return err
		}
		base = next
	}
	return r.untilInForce(ctx, racedPath, base)
}

// nextBase waits until every instance has a newer version than base, and gives
// it.
func (r *Rig) nextBase(ctx context.Context, instances []*testkit.Process, base uint64) (uint64, error) {
	newest := uint64(0)
	err := r.Until(ctx, "a newer version at all instances", func() bool {
		for _, p := range instances {
			found, ok := r.setting(ctx, p, racedPath)
			if !ok || found.Version <= base {
				return false
			}
			newest = max(newest, found.Version)
		}
		return true
	})
	return newest, err
}

// runSettingsReplaced kills every instance as soon as a change is accepted.
func runSettingsReplaced(ctx context.Context, r *Rig) error {
	base := uint64(0)
	for round := range 2 {
		old := r.others(nil)
		change := r.propose(ctx, old[round], racedPath, base, strconv.Itoa(2000+round))
		if !change.Accepted {
			return errors.Newf("the change was not accepted: %+v", change)
		}
		for _, p := range old {
			r.Kill(p, false)
		}
		r.setDoors()
		for range old {
			if _, err := r.Add(ctx); err != nil {
				return err
			}
		}
		if err := r.untilInForce(ctx, racedPath, change.Version); err != nil {
			return err
		}
		base = change.Version
	}
	return r.StartLoad(ctx, 2, 3).Wait()
}

// runStartWhileLogDown starts an instance during an outage. It may take traffic
// only with the settings that were accepted before.
func runStartWhileLogDown(ctx context.Context, r *Rig) error {
	change := r.propose(ctx, r.random(), racedPath, 0, "3000")
	if !change.Accepted {
		return errors.Newf("the change was not accepted: %+v", change)
	}
	var agents []*agent
	for range usualPrograms {
		a, err := r.newAgent(ctx, r.newRand())
		if err != nil {
			return err
		}
		agents = append(agents, a)
	}
	r.SetLog(wire.LogFaults{Down: true})
	r.hold(ctx, outage/4)
	p, err := r.AddUnready()
	if err != nil {
		return err
	}
	err = r.watchStart(ctx, p, change.Version)
	// The programs of living owners go on, also those that the list now gives
	// to the new instance.
	for _, a := range agents {
		if got := a.tool(ctx, 0); err == nil && !got.Word.whole() {
			err = errors.Newf("a repeatable call during the outage got %s %s", got.Word, got.Reason)
		}
	}
	r.SetLog(wire.LogFaults{})
	if err != nil {
		return err
	}
	if err := r.WaitReady(ctx, p); err != nil {
		return err
	}
	r.setDoors(doorOf(p))
	err = r.untilInForce(ctx, racedPath, change.Version)
	for _, a := range agents {
		err = errors.CombineErrors(err, a.goOn(ctx))
	}
	return err
}

// watchStart looks at a starting instance for the length of an outage: as soon
// as it says that it is ready it must know the accepted change.
func (r *Rig) watchStart(ctx context.Context, p *testkit.Process, version uint64) error {
	for until := time.Now().Add(outage); time.Now().Before(until); r.hold(ctx, pace) {
		if !ready(ctx, p) {
			continue
		}
		found, ok := r.setting(ctx, p, racedPath)
		if !ok || found.Version < version {
			return errors.Newf("the instance is ready with version %d, accepted was %d", found.Version, version)
		}
	}
	return nil
}

// runBudgetTakeover raises and then lowers the fees that a program may spend,
// and kills the owner each time right after the change was accepted.
func runBudgetTakeover(ctx context.Context, r *Rig) error {
	const path = teamPath + "/program_fees"
	const raised, lowered = 10, 7
	r.budget.Fees = lowered
	a, err := r.newAgent(ctx, r.newRand())
	if err != nil {
		return err
	}
	if err := a.fileUntilRefused(ctx, 4, 4); err != nil {
		return err
	}
	for i, limit := range []int{raised, lowered} {
		now, ok := r.setting(ctx, r.random(), path)
		if !ok {
			return errors.New("the limit cannot be read")
		}
		change := r.propose(ctx, r.random(), path, now.Version, strconv.Itoa(limit))
		if !change.Accepted {
			return errors.Newf("the change was not accepted: %+v", change)
		}
		owner, err := r.untilOwned(ctx, a.program.ID)
		if err != nil {
			return err
		}
		if err := r.Replace(ctx, owner); err != nil {
			return err
		}
		if err := r.untilInForce(ctx, path, change.Version); err != nil {
			return err
		}
		if i == 0 {
			if got := a.file(ctx, 1, 0); !got.Word.whole() {
				return errors.Newf("a filing within the raised limit got %s %s", got.Word, got.Reason)
			}
		}
	}
	// A takeover counts what the dead owner had reserved as spent, so that
	// fewer may be left than were paid.
	if err := a.fileUntilRefused(ctx, 0, lowered-5); err != nil {
		return err
	}
	return a.close(ctx)
}

// fileUntilRefused makes filings of fee 1 until the budget refuses one, and wants
// a number of answers before in that range.
func (a *agent) fileUntilRefused(ctx context.Context, least, most int) error {
	for i := 0; ; i++ {
		got := a.file(ctx, 1, 0)
		switch {
		case got.Word == NotRun && got.Reason == reasonBudget && i >= least:
			return nil
		case !got.Word.whole():
			return errors.Newf("after %d filings one got %s %s", i, got.Word, got.Reason)
		case i >= most:
			return errors.Newf("more than %d filings were answered", most)
		}
	}
}
