package node

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// ErrConfig is returned for an invalid Config.
var ErrConfig = errors.New("invalid instance configuration")

// Config configures an instance. It is set from flags and environment variables.
type Config struct {
	ID         string
	Region     string
	DataCentre string
	// CallerListen and PeerListen are the listen addresses, IP:port.
	CallerListen string
	PeerListen   string
	// PeerAdvertise is the address advertised to other instances; the listen
	// address if empty.
	PeerAdvertise string
	// LogURL and MembersURL are the base URLs of the platform's services.
	LogURL     string
	MembersURL string
	Shards     int
	// PeerKey is the shared key that authenticates instances to each other.
	PeerKey []byte
	// PeerTLS enables mutual TLS between instances.
	PeerTLS PeerTLS
	// RootKeyHash is the hexadecimal SHA-256 of the root operator's key.
	RootKeyHash string
	// Retention is how long the log keeps records.
	Retention time.Duration
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout time.Duration
	// MaxBody bounds a request body, in bytes.
	MaxBody int64
}

// check returns ErrConfig with the reason if the configuration is invalid.
func (c Config) check() error {
	switch {
	case c.ID == "" || c.Region == "" || c.DataCentre == "":
		return errors.Wrap(ErrConfig, "id, region and data centre of the instance are required")
	case c.Shards < 1 || c.Shards > 1<<16:
		return errors.Wrapf(ErrConfig, "shards is %d, expected 1 to 65536", c.Shards)
	case c.DrainTimeout <= 0:
		return errors.Wrapf(ErrConfig, "drain timeout is %s, expected more than 0", c.DrainTimeout)
	}
	return nil
}

// self returns this instance as a peer, at its advertised address.
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
