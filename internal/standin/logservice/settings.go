package logservice

import "time"

// Settings are the settings of a log service. The zero value keeps everything
// and limits nothing.
type Settings struct {
	// RetainRecords is the number of newest records kept a stream, 0 for all.
	RetainRecords int
	// RetainAge is the age at which a record is dropped, 0 for never.
	RetainAge time.Duration
	// AppendsPerSecond is the rate of appends of all streams together above
	// which appends are refused with status 429, 0 for no limit.
	AppendsPerSecond float64
	// AppendBurst is the number of appends allowed at once, 0 for one
	// second's worth.
	AppendBurst int
	// Now is the clock, time.Now when nil.
	Now func() time.Time
}
