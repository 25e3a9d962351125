package logclient

import (
	"cmp"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
)

// Defaults of LogConfig and MembersConfig.
const (
	DefaultAppendTimeout      = time.Second
	DefaultAppendQueueRecords = 256
	DefaultAppendQueueBytes   = 32 << 20
	DefaultPollWait           = 5 * time.Second
	DefaultReplyTimeout       = time.Second
	DefaultEmptyReadInterval  = time.Second
	DefaultMinBackoff         = 100 * time.Millisecond
	DefaultMaxBackoff         = 2 * time.Second
	DefaultMaxReadRecords     = 256
	DefaultMaxReplyBytes      = 32 << 20
	DefaultMembersInterval    = time.Second
	DefaultMembersRepostPolls = 30
	DefaultMembersTimeout     = time.Second
)

// ErrConfig is returned for an invalid configuration.
var ErrConfig = errors.New("invalid platform configuration")

// LogConfig configures a Log. Zero values of all fields but URL are replaced by
// the defaults.
type LogConfig struct {
	// URL is the base URL of the log service.
	URL string
	// AppendTimeout bounds one append.
	AppendTimeout time.Duration
	// AppendQueueRecords and AppendQueueBytes bound the append queue of one
	// stream.
	AppendQueueRecords int
	AppendQueueBytes   int
	// PollWait is how long the log service holds a read at the end of a stream
	// (long poll).
	PollWait time.Duration
	// ReplyTimeout bounds the wait for a reply, in addition to PollWait.
	ReplyTimeout time.Duration
	// EmptyReadInterval is the minimum time between two LogRead events without
	// records for one stream.
	EmptyReadInterval time.Duration
	// MinBackoff and MaxBackoff bound the backoff after a failed read.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// MaxReadRecords is the maximum number of records requested in one read.
	MaxReadRecords int
	// MaxReplyBytes bounds the body of a reply.
	MaxReplyBytes int64
}

func (c LogConfig) withDefaults() LogConfig {
	c.AppendTimeout = cmp.Or(c.AppendTimeout, DefaultAppendTimeout)
	c.AppendQueueRecords = cmp.Or(c.AppendQueueRecords, DefaultAppendQueueRecords)
	c.AppendQueueBytes = cmp.Or(c.AppendQueueBytes, DefaultAppendQueueBytes)
	c.PollWait = cmp.Or(c.PollWait, DefaultPollWait)
	c.ReplyTimeout = cmp.Or(c.ReplyTimeout, DefaultReplyTimeout)
	c.EmptyReadInterval = cmp.Or(c.EmptyReadInterval, DefaultEmptyReadInterval)
	c.MinBackoff = cmp.Or(c.MinBackoff, DefaultMinBackoff)
	c.MaxBackoff = cmp.Or(c.MaxBackoff, DefaultMaxBackoff)
	c.MaxReadRecords = cmp.Or(c.MaxReadRecords, DefaultMaxReadRecords)
	c.MaxReplyBytes = cmp.Or(c.MaxReplyBytes, DefaultMaxReplyBytes)
	return c
}

// MembersConfig configures Members. Zero values of all fields but URL are replaced
// by the defaults.
type MembersConfig struct {
	// URL is the base URL of the membership service.
	URL string
	// Interval is the time between two polls, with a jitter of up to 10%.
	Interval time.Duration
	// RepostPolls is the number of polls after which an unchanged list is
	// posted again.
	RepostPolls int
	// Timeout bounds one poll.
	Timeout time.Duration
}

func (c MembersConfig) withDefaults() MembersConfig {
	c.Interval = cmp.Or(c.Interval, DefaultMembersInterval)
	c.RepostPolls = cmp.Or(c.RepostPolls, DefaultMembersRepostPolls)
	c.Timeout = cmp.Or(c.Timeout, DefaultMembersTimeout)
	return c
}

// checkURL returns ErrConfig unless base is an absolute http or https URL.
func checkURL(base string) error {
	parsed, err := url.Parse(base)
	if err != nil {
		return errors.Mark(err, ErrConfig)
	}
	if parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return errors.Wrap(ErrConfig, "URL of a platform service must have the form http://host or https://host")
	}
	return nil
}
