package structs

import "time"

// TargetReport is what a target reported of its load to some instance. Instances
// pass reports on with messages that go anyway: one of them hears from each
// target too seldom to know the room of a service.
type TargetReport struct {
	// Target is the hash of one start of the target.
	Target uint64
	// Running and Waiting count the target's requests.
	Running int
	Waiting int
	// Slowdown is how long work takes at the target, in percent of the usual.
	Slowdown int
	// Age is the time since the target sent the report.
	Age time.Duration
	// UnitTime is the time that the target takes for a unit of its service's work,
	// in millionths, as some instance learned it, without what may be noise; 0 if
	// unknown. UnitTimeAge is the time since its last sample.
	UnitTime    int
	UnitTimeAge time.Duration
}

// PoolReport is what the sender knows of the load of a service as a whole.
type PoolReport struct {
	// Service is the hash of the service's name.
	Service uint64
	// Utilization is what runs and waits, in thousandths of the slots; Known targets told
	// of it, in the mean at Age.
	Utilization int
	Reporting   int
	Age         time.Duration
}
