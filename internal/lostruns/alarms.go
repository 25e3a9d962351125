package lostruns

import (
	"maps"
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	// alarmLifetimes is how long an alarm is in force, in lifetimes of the work that
	// raised it; it is raised again for runs recorded after half a lifetime.
	alarmLifetimes = 1.5
	// connectedTime is the time from a new connection until the alarm of the instance
	// there must have arrived.
	connectedTime = time.Second
)

// alarms keeps the alarms of this and of other instances. While a connected instance has
// raised none, it need not be asked for lost runs: without it, each request would cost a
// query.
type alarms struct {
	// until is the end of this instance's alarm.
	until time.Time
	// others holds until when other instances have to be asked.
	others map[structs.InstanceID]time.Time
	// since holds the times at which other instances connected.
	since map[structs.InstanceID]time.Time
}

func newAlarms() alarms {
	return alarms{others: make(map[structs.InstanceID]time.Time), since: make(map[structs.InstanceID]time.Time)}
}

// raise records that this instance knows a lost run of work with a lifetime. It reports
// whether the other instances have to be told.
func (a *alarms) raise(lifetime time.Duration, now time.Time) bool {
	if !now.Add(lifetime).After(a.until) {
		return false
	}
	a.until = now.Add(time.Duration(alarmLifetimes * float64(lifetime)))
	return true
}

// inForce reports whether this instance has raised an alarm.
func (a *alarms) inForce(now time.Time) bool { return now.Before(a.until) }

// message returns the alarm of this instance.
func (a *alarms) message(now time.Time) *structs.LostRunsAlarm {
	return &structs.LostRunsAlarm{Duration: a.until.Sub(now)}
}

// heard records another instance's alarm.
func (a *alarms) heard(id structs.InstanceID, duration time.Duration, now time.Time) {
	if until := now.Add(duration); until.After(a.others[id]) {
		a.others[id] = until
	}
}

// connected records that there is a connection to another instance, and reports whether
// it is new.
func (a *alarms) connected(id structs.InstanceID, now time.Time) bool {
	if _, ok := a.since[id]; ok {
		return false
	}
	a.since[id] = now
	return true
}

// disconnected records that the connection to another instance has ended, and reports
// whether there was one.
func (a *alarms) disconnected(id structs.InstanceID) bool {
	_, ok := a.since[id]
	delete(a.since, id)
	return ok
}

// connections lists the connected instances.
func (a *alarms) connections() []structs.InstanceID {
	return slices.Collect(maps.Keys(a.since))
}

// absent reports whether another instance has certainly not raised an alarm.
func (a *alarms) absent(id structs.InstanceID, now time.Time) bool {
	since, ok := a.since[id]
	return ok && now.Sub(since) >= connectedTime && !now.Before(a.others[id])
}

// sweep drops the alarms that are over.
func (a *alarms) sweep(now time.Time) {
	for id, until := range a.others {
		if !now.Before(until) {
			delete(a.others, id)
		}
	}
}
