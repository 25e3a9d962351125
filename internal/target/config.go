package target

import (
	"cmp"
	"crypto/tls"
	"time"
)

// Defaults of a Config.
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

// Config holds the settings of a Runner. Zero values take the defaults above.
type Config struct {
	// TLS is used for targets with an https address; nil takes the system's
	// certificate authorities.
	TLS *tls.Config
	// RunTimeout bounds a run whose command gives no timeout.
	RunTimeout time.Duration
	// ControlTimeout bounds a dial, and each request that is not a run.
	ControlTimeout time.Duration
	// LoadInterval is the time between two polls of an engine's load and
	// cache events, HealthInterval between two health checks of another
	// target. An engine without work and events is polled up to eight times
	// less often. Jitter changes both by up to a tenth.
	LoadInterval   time.Duration
	HealthInterval time.Duration
	// MaxRuns bounds the runs in flight; one more is RunNotSent.
	MaxRuns int
	// MaxReleases bounds the cache releases in flight; others wait.
	MaxReleases int
	// MaxResponseBytes bounds an answer, in bytes.
	MaxResponseBytes int64
	// CancelRetries is how often a failed cancel is repeated, and
	// CancelBackoff the first wait.
	CancelRetries uint64
	CancelBackoff time.Duration
	// Now is the clock of NotAfter; nil is time.Now.
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
