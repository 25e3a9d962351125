package streampin

import (
	"cmp"
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/directory"
	"github.com/banyanglade/banyanglade/internal/feed"
	"github.com/banyanglade/banyanglade/internal/holders"
	"github.com/banyanglade/banyanglade/internal/serve"
	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	// maxListAge is the age up to which the list of targets can make a version certain. A
	// list that is read regularly is younger.
	maxListAge = feed.MaxUnfollowed
	// maxUnlisted is how long a target may serve after its registration has ended.
	maxUnlisted = 10 * time.Second
	// margin is how long after its end a version, or a route, may still begin streams.
	margin = maxListAge + maxUnlisted
	// copies is the number of other instances that are sent a pin.
	copies = 2
	// maxAsked is the number of instances that are asked for a pin. One of them may be
	// the one that sent it, one may have taken the place of an instance that crashed.
	maxAsked = copies + 2
	// replyTimeout covers a round trip and a pause of the other instance by CPU
	// throttling.
	replyTimeout = 150 * time.Millisecond
	// confirmTimeout bounds the wait for a newer list of targets. It covers the pause
	// between two reads of the list.
	confirmTimeout = 600 * time.Millisecond
	// sweepInterval is the time between two sweeps of expired pins, and after which pins
	// of a service whose version is no longer certain are sent.
	sweepInterval = time.Second
)

// Versions knows the software versions of the registered targets.
type Versions interface {
	// SoleVersion returns the version of all targets of a service and since when it has
	// been the only one; false if there are several or no targets.
	SoleVersion(service string) (version string, since time.Time, ok bool)
	// HasSeveralVersions reports whether the targets of a service have different
	// versions.
	HasSeveralVersions(service string) bool
}

// List is this instance's copy of the list of targets.
type List interface {
	// Age returns the time since the copy was last known to be current.
	Age() time.Duration
	// FollowedSince returns since when the copy has followed the list without a gap. It
	// may have missed targets before.
	FollowedSince() time.Time
	// AwaitConfirmed waits until the copy is known to have been current after a time. It
	// returns false if the context ends first.
	AwaitConfirmed(ctx context.Context, after time.Time) bool
}

// Peers sends messages to other instances. Sending never blocks.
type Peers interface {
	Send(to structs.InstanceID, msg structs.Message)
	Probe(to structs.InstanceID)
}

// Config holds the dependencies of a Manager.
type Config struct {
	Directory *directory.Directory
	// Slots is the number of groups of streams whose pins the same instances hold. Key
	// returns the key of a slot for rendezvous hashing. With the keys of the budget
	// partitions, connections to these instances exist already.
	Slots    int
	Key      func(slot int) string
	Peers    Peers
	Versions Versions
	// List is the list of targets behind Versions.
	List List
	// MaxPins bounds the pins in memory, 0 selects DefaultMaxPins. Streams without a pin
	// can be resumed while their service has one version only.
	MaxPins int
	Scope   tally.Scope
	Log     *slog.Logger
}

// Manager records and looks up the versions of streams. It implements
// serve.StreamVersions and is safe for concurrent use.
type Manager struct {
	Config
	metrics metrics
	ring    *holders.Ring
	queries holders.Queries[*structs.StreamPinReply]
	// versionsChanged has an element while pins may have to be sent.
	versionsChanged chan struct{}

	mu   sync.Mutex
	pins *table
	// uncertainUntil is the time until which streams may be resumed that began through
	// former routes.
	uncertainUntil time.Time
}

type metrics struct {
	sent    tally.Counter
	found   tally.Counter
	sole    tally.Counter
	unknown tally.Counter
}

// New creates a Manager.
func New(config Config) *Manager {
	lookups := func(result string) tally.Counter {
		return config.Scope.Tagged(map[string]string{"result": result}).Counter("stream_pin_lookups")
	}
	return &Manager{
		Config: config,
		metrics: metrics{
			sent: config.Scope.Counter("stream_pins_sent"), found: lookups("found"), sole: lookups("sole_version"), unknown: lookups("unknown"),
		},
		ring:            holders.NewRing(holders.Config{Directory: config.Directory, Slots: config.Slots, Key: config.Key, Count: maxAsked}),
		versionsChanged: make(chan struct{}, 1), pins: newTable(cmp.Or(config.MaxPins, DefaultMaxPins)),
	}
}

// Run sends pins once their version is no longer certain and drops expired ones, until the
// context ends.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.versionsChanged:
			m.sendUnshared()
		case now := <-ticker.C:
			m.mu.Lock()
			m.pins.sweep(now)
			m.mu.Unlock()
			m.sendUnshared()
		}
	}
}

// Record records the origin of a stream that begins. It must be called before the caller
// receives the first event.
func (m *Manager) Record(stream serve.Stream, origin serve.StreamOrigin) {
	if stream.ID == "" {
		return // its caller cannot name it
	}
	added := structs.StreamPin{Stream: stream.ID, Service: origin.Service, Version: origin.Version, Lifetime: stream.Lifetime}
	m.mu.Lock()
	defer m.mu.Unlock()
	_, certain := m.certainVersion(origin.Service, stream.Lifetime)
	m.pins.put(added, !certain, time.Now())
	if !certain {
		m.send([]structs.StreamPin{added})
	}
}

// VersionsChanged notifies the Manager that targets were registered. It does not block.
func (m *Manager) VersionsChanged() {
	select {
	case m.versionsChanged <- struct{}{}:
	default:
	}
}

// RoutesChanged notifies the Manager that streams with a lifetime may have begun at other
// services than those to which the routes lead now, or may last longer. It does not block.
func (m *Manager) RoutesChanged(lifetime time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if until := time.Now().Add(lifetime + margin); until.After(m.uncertainUntil) {
		m.uncertainUntil = until
	}
	m.VersionsChanged()
}

// sendUnshared sends the pins kept here whose service has no certain version any more.
func (m *Manager) sendUnshared() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.send(m.pins.takeUnshared(func(p structs.StreamPin) bool {
		_, certain := m.certainVersion(p.Service, p.Lifetime)
		return !certain
	}))
}

// certainVersion returns the version at which all streams of a service with a lifetime
// that are in progress must have begun, false if that is uncertain. The mutex is held.
func (m *Manager) certainVersion(service string, lifetime time.Duration) (string, bool) {
	version, since, ok := m.Versions.SoleVersion(service)
	if followed := m.List.FollowedSince(); followed.After(since) {
		since = followed
	}
	if !ok || !m.routesSettled() || time.Since(since) < lifetime+margin || m.List.Age() > maxListAge {
		return "", false
	}
	return version, true
}

// routesSettled reports whether all streams that may be resumed began at the services to
// which the routes lead. The mutex is held.
func (m *Manager) routesSettled() bool { return !time.Now().Before(m.uncertainUntil) }

// send sends pins to the instances that hold them. The mutex is held.
func (m *Manager) send(pins []structs.StreamPin) {
	messages := make(map[structs.InstanceID]*structs.StreamPins)
	for _, p := range pins {
		others := m.ring.Of(p.Stream)
		for _, to := range others[:min(copies, len(others))] {
			if messages[to] == nil {
				messages[to] = new(structs.StreamPins)
			}
			messages[to].Pins = append(messages[to].Pins, p)
		}
	}
	for to, message := range messages {
		m.metrics.sent.Inc(int64(len(message.Pins)))
		m.Peers.Send(to, message)
	}
}

// Handles reports whether a message is one of this package.
func Handles(message structs.Message) bool {
	switch message.(type) {
	case *structs.StreamPins, *structs.StreamPinRequest, *structs.StreamPinReply:
		return true
	}
	return false
}

// Receive handles an event of the transport between instances.
func (m *Manager) Receive(event structs.Event) {
	switch e := event.(type) {
	case structs.PeerMessage:
		m.receiveMessage(e.From, e.Msg)
	case structs.PeerDown:
		m.queries.PeerDown(e.Peer)
	}
}

func (m *Manager) receiveMessage(from structs.InstanceID, message structs.Message) {
	switch msg := message.(type) {
	case *structs.StreamPins:
		m.receivePins(msg.Pins)
	case *structs.StreamPinRequest:
		m.Peers.Send(from, m.answer(msg))
	case *structs.StreamPinReply:
		m.queries.Receive(from, msg.Number, msg)
	}
}

func (m *Manager) receivePins(pins []structs.StreamPin) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, p := range pins {
		m.pins.put(p, true, now)
	}
}

func (m *Manager) answer(request *structs.StreamPinRequest) *structs.StreamPinReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	reply := &structs.StreamPinReply{Number: request.Number, Outcome: structs.StreamPinUnknown}
	if p, ok := m.pins.find(request.Stream, time.Now()); ok {
		reply.Outcome, reply.Service, reply.Version = structs.StreamPinFound, p.Service, p.Version
		return reply
	}
	if m.Versions.HasSeveralVersions(request.Service) {
		reply.Outcome = structs.StreamPinSeveralVersions
		return reply
	}
	if version, _, ok := m.Versions.SoleVersion(request.Service); ok {
		reply.Service, reply.Version = request.Service, version
	}
	if _, certain := m.certainVersion(request.Service, request.Lifetime); certain {
		reply.Outcome = structs.StreamPinSoleVersion
	}
	return reply
}
