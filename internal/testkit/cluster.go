package testkit

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/standin/cluster"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// Keys of test clusters. They are not secret.
const (
	RootKey      = "testkit-root-operator-key"
	PeerKey      = "testkit-shared-peer-key-0123456789"
	pollInterval = 20 * time.Millisecond
)

// Options configure a cluster.
type Options struct {
	// Binary is the path of the instance binary.
	Binary string
	// Instances is the number of instances, spread over the places in turn.
	Instances int
	Standins  cluster.Settings
	// LogDir is the directory of the instances' log files; if empty, only the
	// last lines are kept in memory.
	LogDir string
	// Env holds additional environment variables of each instance, NAME=value.
	Env []string
	// EnvOf returns additional environment variables of one instance, which
	// override the defaults and Env; nil for none.
	EnvOf func(c *Cluster, id string) []string
}

// Cluster is a set of instances and the stand-ins that they use.
type Cluster struct {
	*cluster.Cluster
	Instances []*Process

	options Options
	started int
}

// Start starts the stand-ins and the instances, and waits until each is ready.
// On error it stops everything that it started.
func Start(ctx context.Context, options Options) (*Cluster, error) {
	standins, err := cluster.Start(options.Standins)
	if err != nil {
		return nil, err
	}
	c := &Cluster{Cluster: standins, options: options}
	for range options.Instances {
		if _, err := c.StartInstance(); err != nil {
			c.Close()
			return nil, err
		}
	}
	for _, p := range c.Instances {
		if err := c.WaitReady(ctx, p); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

// StartInstance starts another instance and adds it to the membership list. It
// does not wait until the instance is ready.
func (c *Cluster) StartInstance() (*Process, error) {
	place := c.options.Standins.Places[c.started%len(c.options.Standins.Places)]
	c.started++
	p := &Process{ID: fmt.Sprintf("instance-%d", c.started), DataCentre: place.DataCentre}
	env := append(c.env(p, place), c.options.Env...)
	if c.options.EnvOf != nil {
		env = append(env, c.options.EnvOf(c, p.ID)...)
	}
	if err := startInstance(c.options.Binary, env, c.options.LogDir, p); err != nil {
		return nil, err
	}
	c.Instances = append(c.Instances, p)
	c.Members.Put(c.Member(p, wire.MemberStateLive))
	return p, nil
}

// Member returns the membership entry of an instance.
func (c *Cluster) Member(p *Process, state string) wire.Member {
	return wire.Member{
		ID: p.ID, Role: wire.MemberRoleInstance, State: state,
		Region: c.options.Standins.Places[0].Region, DataCentre: p.DataCentre, Address: p.Peer,
	}
}

func (c *Cluster) env(p *Process, place cluster.Place) []string {
	endpoints := c.Endpoints()
	return []string{
		"BANYANGLADE_ID=" + p.ID,
		"BANYANGLADE_REGION=" + place.Region,
		"BANYANGLADE_DATA_CENTRE=" + place.DataCentre,
		"BANYANGLADE_LISTEN=127.0.0.1:0",
		"BANYANGLADE_PEER_LISTEN=127.0.0.1:0",
		"BANYANGLADE_LOG_URL=" + endpoints.Log,
		"BANYANGLADE_MEMBERS_URL=" + endpoints.Members,
		"BANYANGLADE_PEER_KEY=" + PeerKey,
		"BANYANGLADE_ROOT_KEY_SHA256=" + HashKey(RootKey),
	}
}

// HashKey returns the hexadecimal SHA-256 of a key, the form used in settings.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// WaitReady waits until an instance reports that it is ready.
func (c *Cluster) WaitReady(ctx context.Context, p *Process) error {
	return Poll(ctx, func() error {
		select {
		case <-p.exited:
			return errors.Newf("instance %s ended: %v\n%s", p.ID, p.err, p.Log())
		default:
		}
		response, err := http.Get(p.Server + "/readyz")
		if err != nil {
			return err
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return errors.Newf("instance %s: %s", p.ID, response.Status)
		}
		return nil
	})
}

// Remove removes an ended instance from the cluster and the membership list.
func (c *Cluster) Remove(p *Process) {
	c.Instances = slices.DeleteFunc(c.Instances, func(q *Process) bool { return q == p })
	c.Members.Remove(p.ID)
}

// Close kills the instances and stops the stand-ins.
func (c *Cluster) Close() {
	for _, p := range c.Instances {
		_ = p.Resume()
		p.Kill()
	}
	c.Cluster.Close()
}

// Poll calls f until it returns nil or the context ends, in which case it
// returns the last error of f.
func Poll(ctx context.Context, f func() error) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "condition not met before the context ended")
		case <-ticker.C:
		}
	}
}
