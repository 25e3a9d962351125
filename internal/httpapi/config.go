package httpapi

import (
	"cmp"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Defaults of Config.
const (
	DefaultMaxBody               = 4 << 20
	DefaultMaxTotalBody          = 64 << 20
	DefaultMaxBuffer             = 128 << 10
	DefaultMaxConcurrentRequests = 2048
	DefaultMaxTokens             = 32_768
	DefaultHeaderTimeout         = 5 * time.Second
	DefaultBodyTimeout           = 30 * time.Second
	DefaultWriteTimeout          = 10 * time.Second
	DefaultOperatorTimeout       = 10 * time.Second
	DefaultReplyGrace            = 2 * time.Second
	DefaultIdleTimeout           = 2 * time.Minute
	maxHeaderBytes               = 32 << 10
	defaultCompletionTokens      = 1024
)

// Config configures a Server. Fields that are zero take their defaults.
type Config struct {
	// Instance and Incarnation make request identifiers unique across
	// instances and restarts.
	Instance    structs.InstanceID
	Incarnation string
	// Region is the region of programs opened at this instance.
	Region structs.Region
	// RootKeyHash is the hexadecimal SHA-256 of the root operator's key;
	// empty means that there is no root operator.
	RootKeyHash string
	// MaxBody limits the size of a request body, and MaxTotalBody that of all
	// bodies in memory, in bytes.
	MaxBody      int64
	MaxTotalBody int64
	// MaxBuffer limits the bytes of a streamed response that are buffered for
	// a slow caller.
	MaxBuffer int
	// MaxConcurrentRequests limits the callers' requests in flight.
	MaxConcurrentRequests int
	// MaxTokens caps the completion tokens of one response.
	MaxTokens int64
	// HeaderTimeout and BodyTimeout limit the reading of a request, and
	// WriteTimeout each write of a response.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	WriteTimeout  time.Duration
	// OperatorTimeout limits requests on programs and settings.
	OperatorTimeout time.Duration
	// ReplyGrace is how long past a request's deadline the adapter waits
	// for the core's reply before it reports the outcome as unknown. It
	// only takes effect if the core has stopped.
	ReplyGrace time.Duration
	// Metrics serves GET /metrics; nil disables the route.
	Metrics *Metrics
	// Now is the clock, time.Now if nil.
	Now func() time.Time
}

func (c Config) withDefaults() Config {
	c.MaxBody = cmp.Or(c.MaxBody, DefaultMaxBody)
	c.MaxTotalBody = cmp.Or(c.MaxTotalBody, DefaultMaxTotalBody)
	c.MaxTotalBody = max(c.MaxTotalBody, c.MaxBody)
	c.MaxBuffer = cmp.Or(c.MaxBuffer, DefaultMaxBuffer)
	c.MaxConcurrentRequests = cmp.Or(c.MaxConcurrentRequests, DefaultMaxConcurrentRequests)
	c.MaxTokens = cmp.Or(c.MaxTokens, DefaultMaxTokens)
	c.HeaderTimeout = cmp.Or(c.HeaderTimeout, DefaultHeaderTimeout)
	c.BodyTimeout = cmp.Or(c.BodyTimeout, DefaultBodyTimeout)
	c.WriteTimeout = cmp.Or(c.WriteTimeout, DefaultWriteTimeout)
	c.OperatorTimeout = cmp.Or(c.OperatorTimeout, DefaultOperatorTimeout)
	c.ReplyGrace = cmp.Or(c.ReplyGrace, DefaultReplyGrace)
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}
