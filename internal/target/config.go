package target

import (
	"cmp"
	"crypto/tls"
	"time"
)

// Default values of the fields of Config.
const (
	DefaultRunTimeout       = time.Minute
	DefaultControlTimeout   = time.Second
	DefaultLoadInterval     = 500 * time.Millisecond
	DefaultHealthInterval   = time.Second
	DefaultMaxRuns          = 4096
	DefaultMaxReleases      = 32
	DefaultMaxResponseBytes = 16 << 20
	DefaultCancelRetries    = 4
	DefaultCancelBackoff    = 50 * time.Millisecond
)

// Config holds the settings of a Runner. Zero fields take the default values.
type Config struct {
	// TLS is used for targets with an https address; nil selects the system's
	// certificate authorities.
	TLS *tls.Config
	// RunTimeout applies to a run whose command has no timeout.
	RunTimeout time.Duration
	// ControlTimeout applies to a dial, and to each request that is not a run.
	ControlTimeout time.Duration
	// LoadInterval is the interval between polls of an engine's load and cache
	// events. It grows by a factor of up to maxIdleFactor while the engine is
	// idle. HealthInterval is the interval between health checks of other
	// targets. Jitter is applied to both.
	LoadInterval   time.Duration
	HealthInterval time.Duration
	// MaxRuns is the maximum number of runs in flight. Further runs are refused.
	MaxRuns int
	// MaxReleases is the maximum number of cache releases in flight. Others wait.
	MaxReleases int
	// MaxResponseBytes is the size limit of a response.
	MaxResponseBytes int64
	// CancelRetries is the maximum number of retries of a failed cancel, and
	// CancelBackoff the delay before the first one.
	CancelRetries uint64
	CancelBackoff time.Duration
	// Now returns the current time; nil selects time.Now.
	Now func() time.Time
}

func (c Config) withDefaults() Config {
	c.RunTimeout = cmp.Or(c.RunTimeout, DefaultRunTimeout)
	c.ControlTimeout = cmp.Or(c.ControlTimeout, DefaultControlTimeout)
	c.LoadInterval = cmp.Or(c.LoadInterval, DefaultLoadInterval)
	c.HealthInterval = cmp.Or(c.HealthInterval, DefaultHealthInterval)
	c.MaxRuns = cmp.Or(c.MaxRuns, DefaultMaxRuns)
	c.MaxReleases = cmp.Or(c.MaxReleases, DefaultMaxReleases)
	c.MaxResponseBytes = cmp.Or(c.MaxResponseBytes, DefaultMaxResponseBytes)
	c.CancelRetries = cmp.Or(c.CancelRetries, DefaultCancelRetries)
	c.CancelBackoff = cmp.Or(c.CancelBackoff, DefaultCancelBackoff)
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}
