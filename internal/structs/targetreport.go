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
	// Pace is how long work takes at the target, in percent of the usual.
	Pace int
	// Age is the time since the target sent the report.
	Age time.Duration
	// Speed is the time that the target takes for a unit of its service's work,
	// in millionths, as some instance learned it, without what may be noise; 0 if
	// unknown. SpeedAge is the time since its last sample.
	Speed    int
	SpeedAge time.Duration
}
