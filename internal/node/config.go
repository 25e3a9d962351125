package node

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// ErrConfig is the error of a Config that cannot be used.
var ErrConfig = errors.New("invalid instance configuration")

// Config is what a process learns from its flags and environment variables.
type Config struct {
	ID         string
	Region     string
	DataCentre string
	// CallerListen and PeerListen are the listen addresses, IP:port.
	CallerListen string
	PeerListen   string
	// PeerAdvertise is the address that other instances use, as the
	// membership list shows it; empty takes the listen address.
	PeerAdvertise string
	// LogURL and MembersURL are the base URLs of the platform's services.
	LogURL     string
	MembersURL string
	Shards     int
	// PeerKey authenticates the instances to each other.
	PeerKey []byte
	// PeerTLS adds mutual TLS between the instances.
	PeerTLS PeerTLS
	// RootKeyHash is the hexadecimal SHA-256 of the root operator's key.
	RootKeyHash string
	// Retention is how long the log keeps records.
	Retention time.Duration
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout time.Duration
	// MaxBody bounds a request body in bytes.
	MaxBody int64
}

// check returns ErrConfig with the reason if the configuration cannot be used.
func (c Config) check() error {
	switch {
	case c.ID == "" || c.Region == "" || c.DataCentre == "":
		return errors.Wrap(ErrConfig, "the instance's id, region and data centre must be given")
	case c.Shards < 1 || c.Shards > 1<<16:
		return errors.Wrapf(ErrConfig, "shards is %d, expected 1 to 65536", c.Shards)
	case c.DrainTimeout <= 0:
		return errors.Wrapf(ErrConfig, "drain timeout is %s, expected more than 0", c.DrainTimeout)
	}
	return nil
}

// self is this instance as a peer, at the address it listens on.
func (c Config) self(listen net.Addr) structs.Peer {
	address := c.PeerAdvertise
	if address == "" {
		address = listen.String()
	}
	return structs.Peer{
		ID: structs.InstanceID(c.ID), Region: structs.Region(c.Region),
		DataCentre: structs.DataCentre(c.DataCentre), Address: address,
	}
}
