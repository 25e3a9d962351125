package peer

import (
	"context"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"golang.org/x/sync/errgroup"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Errors that end a session.
var (
	errClosed           = errors.New("transport closed")
	errHeartbeatTimeout = errors.New("no heartbeat received within the liveness timeout")
	errNewIncarnation   = errors.New("instance reconnected with a new incarnation")
	errWrite            = errors.New("write failed or timed out")
)

// session is one authenticated connection to an instance.
type session struct {
	transport *Transport
	remote    identity
	conn      *websocket.Conn
	// dialed is true if this instance opened the connection.
	dialed bool
	// queue holds the frames to write. It is set by registerSession.
	queue *sendQueue
	// ctx is cancelled to end the session, with the reason as its cause.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// delivering is true while a received message waits for space in the event
	// loop's queue.
	delivering atomic.Bool
	// delay is used by the reader, except for its start time, which the writer
	// uses too. lastStamp is when the writer last sent a stamp.
	delay     delayEstimator
	lastStamp time.Time

	mu           sync.Mutex
	lastPing     uint64
	pendingPings map[uint64]chan struct{}
}

func newSession(t *Transport, remote identity, conn *websocket.Conn) *session {
	ctx, cancel := context.WithCancelCause(t.ctx)
	return &session{
		transport: t, remote: remote, conn: conn,
		ctx: ctx, cancel: cancel,
		delay:        delayEstimator{started: time.Now()},
		pendingPings: make(map[uint64]chan struct{}),
	}
}

// run reads and writes frames until the session ends, and returns the reason.
func (s *session) run() error {
	s.conn.SetReadLimit(int64(s.transport.cfg.MaxFrameBytes))
	group, ctx := errgroup.WithContext(s.ctx)
	group.Go(func() error { return s.readLoop(ctx) })
	group.Go(func() error { return s.writeLoop(ctx) })
	err := group.Wait()
	if s.ctx.Err() != nil {
		err = context.Cause(s.ctx)
	}
	s.cancel(err)
	s.close(err)
	return err
}

// close closes the connection, with a close frame if the peer sent an invalid
// frame.
func (s *session) close(err error) {
	if errors.Is(err, ErrVersionMismatch) || errors.Is(err, ErrMalformedFrame) {
		_ = s.conn.Close(websocket.StatusPolicyViolation, truncateReason(err))
	}
	_ = s.conn.CloseNow()
}

func (s *session) readLoop(ctx context.Context) error {
	for {
		_, frame, err := s.conn.Read(ctx)
		if err != nil {
			return errors.Wrap(err, "read")
		}
		if err := s.receive(ctx, frame); err != nil {
			return err
		}
	}
}

func (s *session) receive(ctx context.Context, frame []byte) error {
	kind, body, err := splitFrame(frame)
	if err != nil {
		return err
	}
	s.transport.traffic.received(kind, len(frame))
	switch kind {
	case kindPing:
		return s.receivePing(body)
	case kindPong:
		return s.receivePong(body)
	case kindStamp:
		return s.receiveStamp(body)
	}
	msg, err := DecodeFrame(frame)
	if err != nil {
		return err
	}
	s.delivering.Store(true)
	defer s.delivering.Store(false)
	if !s.transport.sink.Deliver(ctx, structs.PeerMessage{From: s.remote.ID, Msg: msg}) {
		return errClosed
	}
	return nil
}

func (s *session) writeLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.queue.wake:
		}
		if err := s.writeQueued(ctx); err != nil {
			return errors.Mark(err, errWrite)
		}
	}
}

func (s *session) writeQueued(ctx context.Context) error {
	for frame := s.queue.pop(); frame != nil; frame = s.queue.pop() {
		kind := structs.MessageKind(frame[1])
		if !s.remote.decodes(kind) {
			s.transport.metrics.framesUnsupported.Inc(1)
			s.transport.sink.Deliver(ctx, structs.MessageUnsupported{Peer: s.remote.ID, Kind: kind})
			continue
		}
		if err := s.writeStamp(ctx); err != nil {
			return err
		}
		if err := s.write(ctx, frame); err != nil {
			return err
		}
		s.transport.traffic.sent(kind, len(frame))
	}
	if s.queue.drained() {
		// The closing handshake ensures that the peer has read all frames.
		_ = s.conn.Close(websocket.StatusGoingAway, errClosed.Error())
		return errClosed
	}
	return nil
}

func (s *session) writeStamp(ctx context.Context) error {
	frame := s.stamp(time.Now())
	if frame == nil {
		return nil
	}
	s.transport.traffic.sent(kindStamp, len(frame))
	return s.write(ctx, frame)
}

func (s *session) write(ctx context.Context, frame []byte) error {
	ctx, cancel := context.WithTimeout(ctx, s.transport.cfg.WriteTimeout)
	defer cancel()
	return s.conn.Write(ctx, websocket.MessageBinary, frame)
}

// ping sends a heartbeat and returns a channel that is closed when the pong is
// received.
func (s *session) ping() <-chan struct{} {
	s.mu.Lock()
	s.lastPing++
	number := s.lastPing
	pong := make(chan struct{})
	s.pendingPings[number] = pong
	s.mu.Unlock()
	s.queue.pushUrgent(heartbeatFrame(kindPing, number))
	return pong
}

func (s *session) receivePing(body []byte) error {
	number, err := heartbeatNumber(body)
	if err != nil {
		return err
	}
	s.queue.pushUrgent(heartbeatFrame(kindPong, number))
	return nil
}

func (s *session) receivePong(body []byte) error {
	number, err := heartbeatNumber(body)
	if err != nil {
		return err
	}
	s.mu.Lock()
	for pending, pong := range s.pendingPings {
		if pending <= number {
			close(pong)
			delete(s.pendingPings, pending)
		}
	}
	s.mu.Unlock()
	s.transport.recordHeartbeat(s)
	return nil
}

func heartbeatFrame(kind structs.MessageKind, number uint64) []byte {
	return binary.AppendUvarint([]byte{structs.ProtocolVersion, byte(kind)}, number)
}

func heartbeatNumber(body []byte) (uint64, error) {
	number, size := binary.Uvarint(body)
	if size <= 0 || size != len(body) {
		return 0, errors.Wrap(ErrMalformedFrame, "invalid heartbeat number")
	}
	return number, nil
}

// maxCloseReason bounds the reason of a WebSocket close frame, in bytes.
const maxCloseReason = 120

func truncateReason(err error) string {
	reason := err.Error()
	return reason[:min(len(reason), maxCloseReason)]
}
