package cluster

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/standin"
	"github.com/banyanglade/banyanglade/internal/standin/engine"
	"github.com/banyanglade/banyanglade/internal/standin/logservice"
	"github.com/banyanglade/banyanglade/internal/standin/members"
	"github.com/banyanglade/banyanglade/internal/standin/service"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// Cluster is a running set of stand-ins. It is safe for concurrent use after
// Start, except that the maps must not be changed.
type Cluster struct {
	Log     *logservice.Service
	Members *members.List
	// Engines and Services hold the targets by member id.
	Engines  map[string]*engine.Server
	Services map[string]*service.Service

	endpoints Endpoints
	servers   []*standin.Server

	mu sync.Mutex
	// targets holds the targets that have not been stopped.
	targets map[string]runningTarget
}

// StopRoute is a route of every target of a cluster. A POST is answered with
// status 202 and then stops the target as StopTarget does.
const StopRoute = "/standin/stop"

// runningTarget is a target that StopTarget can end.
type runningTarget struct {
	server *standin.Server
	close  func()
}

// Endpoints holds the addresses of the stand-ins.
type Endpoints struct {
	// Log and Members are base URLs.
	Log     string        `json:"log"`
	Members string        `json:"members"`
	Targets []wire.Member `json:"targets"`
}

// Start starts the stand-ins. On error it stops everything that it started.
func Start(settings Settings) (*Cluster, error) {
	cluster := &Cluster{
		Log:       logservice.New(settings.Log),
		Members:   members.New(settings.Members),
		Engines:   make(map[string]*engine.Server),
		Services:  make(map[string]*service.Service),
		targets:   make(map[string]runningTarget),
		endpoints: Endpoints{Targets: []wire.Member{}},
	}
	if err := cluster.start(settings); err != nil {
		cluster.Close()
		return nil, err
	}
	return cluster, nil
}

func (c *Cluster) start(settings Settings) error {
	var err error
	if c.endpoints.Log, err = c.listen(settings.LogAddress, c.Log.Handler()); err != nil {
		return errors.Wrap(err, "log service")
	}
	if c.endpoints.Members, err = c.listen(settings.MembersAddress, c.Members.Handler()); err != nil {
		return errors.Wrap(err, "membership list")
	}
	for _, place := range settings.Places {
		if err := c.startPlace(settings, place); err != nil {
			return errors.Wrapf(err, "data centre %s", place.DataCentre)
		}
	}
	return nil
}

func (c *Cluster) listen(address string, handler http.Handler) (string, error) {
	server, err := standin.Listen(address, handler)
	if err != nil {
		return "", err
	}
	c.servers = append(c.servers, server)
	return server.URL, nil
}

func (c *Cluster) startPlace(settings Settings, place Place) error {
	for number := range settings.Engines.Count {
		if err := c.startEngine(settings.Engines, place, number); err != nil {
			return err
		}
	}
	for _, group := range []ServiceGroup{settings.Tools, settings.Plain} {
		for number := range group.Count {
			if err := c.startService(group, place, number); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Cluster) startEngine(group EngineGroup, place Place, number int) error {
	member := newTarget(place, group.Service, number)
	settings := group.Settings
	settings.ID = member.ID
	settings.Seed += uint64(len(c.Engines))
	started := engine.NewServer(settings)
	c.Engines[member.ID] = started
	return c.register(member, started.Handler(), started.Close)
}

func (c *Cluster) startService(group ServiceGroup, place Place, number int) error {
	member := newTarget(place, group.Service, number)
	settings := group.Settings
	settings.ID = member.ID
	started := service.New(settings)
	c.Services[member.ID] = started
	return c.register(member, started.Handler(), started.Close)
}

// register serves a target and adds it to the membership list.
func (c *Cluster) register(member wire.Member, handler http.Handler, closeTarget func()) error {
	server, err := standin.Listen(standin.LoopbackAddress, c.withStopRoute(member.ID, handler))
	if err != nil {
		closeTarget()
		return errors.Wrapf(err, "target %s", member.ID)
	}
	member.Address = server.URL
	c.mu.Lock()
	c.targets[member.ID] = runningTarget{server: server, close: closeTarget}
	c.mu.Unlock()
	c.endpoints.Targets = append(c.endpoints.Targets, member)
	c.Members.Put(member)
	return nil
}

// withStopRoute adds StopRoute to the handler of a target.
func (c *Cluster) withStopRoute(id string, handler http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", handler)
	mux.HandleFunc("POST "+StopRoute, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusAccepted)
		_ = http.NewResponseController(w).Flush()
		go c.StopTarget(id)
	})
	return mux
}

func newTarget(place Place, serviceName string, number int) wire.Member {
	return wire.Member{
		ID:         fmt.Sprintf("%s-%s-%d", place.DataCentre, serviceName, number),
		Role:       wire.MemberRoleTarget,
		State:      wire.MemberStateLive,
		Region:     place.Region,
		DataCentre: place.DataCentre,
		Service:    serviceName,
	}
}

// Endpoints returns the addresses of all stand-ins, including stopped ones.
func (c *Cluster) Endpoints() Endpoints {
	return c.endpoints
}

// StopTarget ends a target as a crash would: it closes the port and drops the
// streams, while the membership list still contains the target. It returns
// false for an unknown or already stopped target.
func (c *Cluster) StopTarget(id string) bool {
	target, ok := c.removeTarget(id)
	if !ok {
		return false
	}
	target.server.Close()
	target.close()
	return true
}

// removeTarget removes a target from the running ones and returns it.
func (c *Cluster) removeTarget(id string) (runningTarget, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	target, ok := c.targets[id]
	delete(c.targets, id)
	return target, ok
}

// runningIDs returns the ids of the targets that have not been stopped.
func (c *Cluster) runningIDs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.targets))
}

// Close stops all stand-ins.
func (c *Cluster) Close() {
	for _, id := range c.runningIDs() {
		c.StopTarget(id)
	}
	for _, server := range c.servers {
		server.Close()
	}
}
