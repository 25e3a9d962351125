package structs

import "time"

// TargetReport is a target's load as reported to one instance. Instances attach the
// reports to other messages, because a target reports to each instance too rarely for
// one instance to track the load of a whole service.
type TargetReport struct {
	// Target is the hash of one incarnation of the target.
	Target uint64
	// Running and Waiting are the numbers of requests at the target.
	Running int
	Waiting int
	// Slowdown is the time that work takes at the target, as a percentage of the
	// typical time.
	Slowdown int
	// Age is the time since the target sent the report.
	Age time.Duration
	// UnitTime is the time that the target takes for one unit of its service's work,
	// in millionths, excluding what may be noise; 0 if unknown. UnitTimeAge is the
	// time since its last sample.
	UnitTime    int
	UnitTimeAge time.Duration
}

// PoolReport is the load of a whole service as known to the sender.
type PoolReport struct {
	// Service is the hash of the service's name.
	Service uint64
	// Utilization is the number of running and waiting requests, in thousandths of the
	// slots. Reporting is the number of targets that it is based on, Age the average
	// age of their reports.
	Utilization int
	Reporting   int
	Age         time.Duration
}
