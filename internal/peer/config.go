package peer

import (
	"cmp"
	"crypto/tls"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Defaults of a Config.
const (
	DefaultPeerTimeout       = time.Second
	DefaultHeartbeatInterval = 250 * time.Millisecond
	DefaultWriteTimeout      = 3 * time.Second
	DefaultCloseTimeout      = time.Second
	DefaultMaxFrameBytes     = 16 << 20
	DefaultMaxQueuedFrames   = 8192
	DefaultMaxQueuedBytes    = 64 << 20
	DefaultMaxHandshakes     = 64

	// MinKeyBytes is the least length of the shared key.
	MinKeyBytes = 16
)

// ErrInvalidConfig is the error of a Config that cannot be used.
var ErrInvalidConfig = errors.New("invalid peer transport configuration")

// Config holds the settings of a Transport. Zero values of all but Self and
// Key take the defaults above.
type Config struct {
	// Self is this instance.
	Self structs.Peer
	// Incarnation is unique for each start of the process.
	Incarnation string
	// Key is the secret that all instances share, at least MinKeyBytes long.
	// It may be empty only if TLS demands verified client certificates.
	Key []byte
	// TLS is used to dial; nil dials plain TCP. The listener that serves the
	// Handler must use the same configuration.
	TLS *tls.Config
	// PeerTimeout is the liveness timeout of a watched instance, and bounds a
	// probe.
	PeerTimeout time.Duration
	// DialTimeout bounds a dial with its handshake; its default is PeerTimeout.
	// An instance that was never reached is more likely gone than one that
	// answered before.
	DialTimeout time.Duration
	// HeartbeatInterval is the time between two pings; a jitter of up to a
	// fifth is added.
	HeartbeatInterval time.Duration
	// WriteTimeout bounds the write of one frame to a slow reader.
	WriteTimeout time.Duration
	// CloseTimeout bounds how long Close goes on sending what waits.
	CloseTimeout time.Duration
	// MaxFrameBytes is the size of the largest frame, in bytes.
	MaxFrameBytes int
	// MaxQueuedFrames and MaxQueuedBytes bound what waits to be written to one
	// instance.
	MaxQueuedFrames int
	MaxQueuedBytes  int
	// MaxHandshakes bounds the connections that are not yet authenticated.
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
		return errors.Wrap(ErrInvalidConfig, "the instance id and incarnation are needed")
	}
	if len(c.Key) == 0 && c.verifiesClients() {
		return nil
	}
	if len(c.Key) < MinKeyBytes {
		return errors.Wrapf(ErrInvalidConfig, "the shared key needs at least %d bytes", MinKeyBytes)
	}
	return nil
}

// verifiesClients tells whether TLS alone authenticates the other side.
func (c Config) verifiesClients() bool {
	return c.TLS != nil && c.TLS.ClientAuth == tls.RequireAndVerifyClientCert
}
