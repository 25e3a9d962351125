package peer

import (
	"cmp"
	"crypto/tls"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Defaults for the zero fields of a Config.
const (
	DefaultPeerTimeout       = time.Second
	DefaultHeartbeatInterval = 250 * time.Millisecond
	DefaultWriteTimeout      = 3 * time.Second
	DefaultCloseTimeout      = time.Second
	DefaultMaxFrameBytes     = 16 << 20
	DefaultMaxQueuedFrames   = 8192
	DefaultMaxQueuedBytes    = 64 << 20
	DefaultMaxHandshakes     = 64

	// MinKeyBytes is the minimum length of the shared key.
	MinKeyBytes = 16
)

// ErrInvalidConfig is returned by New for an unusable Config.
var ErrInvalidConfig = errors.New("invalid peer transport configuration")

// Config configures a Transport. Zero fields take the defaults above, except
// for Self, Incarnation, Key and TLS.
type Config struct {
	// Self is this instance.
	Self structs.Peer
	// Incarnation identifies one start of the process. It must be unique.
	Incarnation string
	// Key is the secret shared by all instances, at least MinKeyBytes long. It
	// may be empty only if TLS requires verified client certificates.
	Key []byte
	// TLS configures dials; nil means plain TCP. The listener that serves the
	// Handler must use the same configuration.
	TLS *tls.Config
	// PeerTimeout is the liveness timeout of watched instances and the timeout
	// of probes and accepted handshakes.
	PeerTimeout time.Duration
	// DialTimeout bounds a dial including its handshake; 0 means PeerTimeout.
	// It may be shorter than PeerTimeout because an instance without an open
	// connection is more likely to be down.
	DialTimeout time.Duration
	// HeartbeatInterval is the time between pings, before jitter.
	HeartbeatInterval time.Duration
	// WriteTimeout bounds the write of one frame.
	WriteTimeout time.Duration
	// CloseTimeout bounds how long Close waits for queued frames to be sent.
	CloseTimeout time.Duration
	// MaxFrameBytes is the maximum size of a frame.
	MaxFrameBytes int
	// MaxQueuedFrames and MaxQueuedBytes bound the send queue of one instance.
	MaxQueuedFrames int
	MaxQueuedBytes  int
	// MaxHandshakes bounds the accepted connections that are not authenticated
	// yet.
	MaxHandshakes int
}

func (c Config) withDefaults() Config {
	c.PeerTimeout = cmp.Or(c.PeerTimeout, DefaultPeerTimeout)
	c.DialTimeout = cmp.Or(c.DialTimeout, c.PeerTimeout)
	c.HeartbeatInterval = cmp.Or(c.HeartbeatInterval, DefaultHeartbeatInterval)
	c.WriteTimeout = cmp.Or(c.WriteTimeout, DefaultWriteTimeout)
	c.CloseTimeout = cmp.Or(c.CloseTimeout, DefaultCloseTimeout)
	c.MaxFrameBytes = cmp.Or(c.MaxFrameBytes, DefaultMaxFrameBytes)
	c.MaxQueuedFrames = cmp.Or(c.MaxQueuedFrames, DefaultMaxQueuedFrames)
	c.MaxQueuedBytes = cmp.Or(c.MaxQueuedBytes, DefaultMaxQueuedBytes)
	c.MaxHandshakes = cmp.Or(c.MaxHandshakes, DefaultMaxHandshakes)
	return c
}

func (c Config) validate() error {
	if c.Self.ID == "" || c.Incarnation == "" {
		return errors.Wrap(ErrInvalidConfig, "the instance id and incarnation are required")
	}
	if len(c.Key) == 0 && c.verifiesClients() {
		return nil
	}
	if len(c.Key) < MinKeyBytes {
		return errors.Wrapf(ErrInvalidConfig, "the shared key is shorter than %d bytes", MinKeyBytes)
	}
	return nil
}

// verifiesClients reports whether TLS authenticates the dialer.
func (c Config) verifiesClients() bool {
	return c.TLS != nil && c.TLS.ClientAuth == tls.RequireAndVerifyClientCert
}
