package peer

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/eventsink"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// Resolver looks up an instance in the membership. It is called only from Send,
// Broadcast, Probe and Watch, on the goroutine of their caller.
type Resolver func(structs.InstanceID) (structs.Peer, bool)

// Transport executes the commands SendPeer, ProbePeer and WatchPeers and posts
// the events PeerMessage, PeerUp and PeerDown. Only Close blocks.
type Transport struct {
	cfg        Config
	handshaker handshaker
	resolve    Resolver
	sink       *eventsink.Sink
	liveness   *liveness
	client     *http.Client
	logger     *slog.Logger
	traffic    traffic
	metrics    metrics
	handshakes *handshakes

	ctx    context.Context
	cancel context.CancelCauseFunc

	mu     sync.Mutex
	closed bool
	links  map[structs.InstanceID]*link
	wg     sync.WaitGroup
	// activeSessions tracks the running sessions; Close waits for them first.
	activeSessions sync.WaitGroup
}

// New starts a Transport that runs until Close is called or the context ends.
// It returns ErrInvalidConfig if the configuration is invalid.
func New(
	ctx context.Context, cfg Config, post func(structs.Event) bool, resolve Resolver,
	scope tally.Scope, logger *slog.Logger,
) (*Transport, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	sink := eventsink.New(post, scope)
	t := &Transport{
		cfg:        cfg,
		handshaker: handshaker{id: cfg.Self.ID, incarnation: cfg.Incarnation, key: cfg.Key},
		resolve:    resolve,
		sink:       sink,
		liveness:   newLiveness(sink),
		client:     newDialClient(cfg),
		logger:     logger,
		traffic:    newTraffic(scope),
		metrics:    newMetrics(scope),
		handshakes: newHandshakes(cfg.MaxHandshakes),
		ctx:        ctx,
		cancel:     cancel,
		links:      make(map[structs.InstanceID]*link),
	}
	t.wg.Go(func() { t.liveness.run(ctx) })
	t.wg.Go(t.runHeartbeats)
	return t, nil
}

// Close sends the queued frames of connected instances within CloseTimeout, then
// closes all connections and waits for the transport's goroutines.
func (t *Transport) Close() { t.CloseBy(time.Now().Add(t.cfg.CloseTimeout)) }

// CloseBy is Close with an end of the time to send queued frames, if that is before the
// end of CloseTimeout.
func (t *Transport) CloseBy(end time.Time) {
	t.finishQueues()
	t.waitForSessions(min(t.cfg.CloseTimeout, time.Until(end)))
	t.cancel(errClosed)
	t.wg.Wait()
	t.client.CloseIdleConnections()
}

func (t *Transport) finishQueues() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for _, l := range t.links {
		for s := range l.sessions {
			s.queue.finish()
		}
	}
}

func (t *Transport) waitForSessions(timeout time.Duration) {
	done := make(chan struct{})
	go func() {
		t.activeSessions.Wait()
		close(done)
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// spawn runs f on a goroutine that Close waits for. It returns false if the
// transport is closed. t.mu must be held.
func (t *Transport) spawn(f func()) bool {
	if t.closed {
		return false
	}
	t.wg.Go(f)
	return true
}

// Send queues a message to an instance and dials the instance if there is no
// connection. If the message cannot be queued or the connection breaks, the
// message is lost and PeerDown is posted.
func (t *Transport) Send(to structs.InstanceID, msg structs.Message) { t.send(to, msg, true) }

// TrySend is Send if there is a connection to the instance or one is being opened.
// Otherwise it returns false, neither dials nor posts PeerDown.
func (t *Transport) TrySend(to structs.InstanceID, msg structs.Message) bool {
	return t.send(to, msg, false)
}

// send queues a message. Unless dial is set, it does so only on an existing connection,
// and returns false if there is none.
func (t *Transport) send(to structs.InstanceID, msg structs.Message, dial bool) bool {
	frame, err := EncodeFrame(msg)
	if err == nil && len(frame) > t.cfg.MaxFrameBytes {
		err = errors.Wrapf(ErrFrameTooLarge, "%d bytes", len(frame))
	}
	if err != nil {
		t.metrics.framesInvalid.Inc(1)
		t.logger.Error("message cannot be sent", "peer", to, "kind", msg.Kind(), "error", err)
		t.liveness.down(to)
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.resolveLink(to)
	if !dial && l.current == nil && !l.dialing {
		return false
	}
	if !t.ensureConnected(l) {
		t.metrics.framesLost.Inc(1)
		t.liveness.down(to)
		return true
	}
	if err := l.queue.push(frame); err != nil {
		t.metrics.framesLost.Inc(1)
		t.disconnect(l, err)
	}
	return true
}

// Broadcast sends a message to all connected instances.
func (t *Transport) Broadcast(msg structs.Message) {
	for _, id := range t.connectedPeers() {
		t.Send(id, msg)
	}
}

func (t *Transport) connectedPeers() []structs.InstanceID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []structs.InstanceID
	for id, l := range t.links {
		if l.current != nil {
			ids = append(ids, id)
		}
	}
	return ids
}

// Probe checks whether an instance is reachable. It posts PeerUp or, within the
// liveness timeout, PeerDown.
func (t *Transport) Probe(to structs.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startProbe(t.resolveLink(to))
}

// Watch replaces the set of instances that are sent heartbeats.
func (t *Transport) Watch(peers []structs.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setWatched(peers)
}
