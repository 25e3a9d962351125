package logservice

import "time"

// Settings configure a log service. With the zero value all records are
// retained and the append rate is unlimited.
type Settings struct {
	// RetainRecords is the maximum number of records retained per stream, 0 for
	// no limit.
	RetainRecords int
	// RetainAge is the age at which records are dropped, 0 for no limit.
	RetainAge time.Duration
	// AppendsPerSecond is the rate limit of appends to all streams together, 0
	// for no limit. Appends above it are refused with status 429.
	AppendsPerSecond float64
	// AppendBurst is the burst size of the rate limit, 0 for the appends of one
	// second.
	AppendBurst int
	// Now is the clock; time.Now if nil.
	Now func() time.Time
}
