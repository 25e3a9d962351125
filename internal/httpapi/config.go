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

// Config is the configuration of a Server. Zero values take the defaults.
type Config struct {
	// Instance and Incarnation make request identifiers unique over all
	// instances and restarts.
	Instance    structs.InstanceID
	Incarnation string
	// Region is the region of the programs opened here.
	Region structs.Region
	// RootKeyHash is the hexadecimal SHA-256 of the root operator's key;
	// empty for no root operator.
	RootKeyHash string
	// MaxBody bounds one request body in bytes, and MaxTotalBody all bodies
	// held at a time.
	MaxBody      int64
	MaxTotalBody int64
	// MaxBuffer bounds the bytes of a streamed answer that wait for a slow
	// caller.
	MaxBuffer int
	// MaxConcurrentRequests bounds the callers' requests in flight.
	MaxConcurrentRequests int
	// MaxTokens is the most tokens that one answer may ask for; more is
	// lowered to it.
	MaxTokens int64
	// HeaderTimeout and BodyTimeout bound the reading of a request, and
	// WriteTimeout each write of an answer.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	WriteTimeout  time.Duration
	// OperatorTimeout bounds requests about programs and settings.
	OperatorTimeout time.Duration
	// ReplyGrace is how long past a request's deadline the adapter waits
	// for the core's answer before it reports the outcome as unknown. It
	// only guards against a core that has stopped.
	ReplyGrace time.Duration
	// Metrics serves GET /metrics; nil leaves the route out.
	Metrics *Metrics
	// Now is the clock; nil takes time.Now.
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
