package peer

import (
	"context"
	"crypto/hmac"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// maxHandshakeFrameBytes bounds frames from an unauthenticated peer.
const maxHandshakeFrameBytes = 4096

// Handshake errors.
var (
	ErrKeyMismatch      = errors.New("peer does not hold the shared key")
	ErrIdentityMismatch = errors.New("peer is not the expected instance")
)

// hello starts the handshake. To is the instance that the dialer expects.
type hello struct {
	From identity
	To   structs.InstanceID
}

// welcome is the reply to hello and carries the acceptor's proof.
type welcome struct {
	From  identity
	Proof []byte
}

// confirm carries the dialer's proof.
type confirm struct{ Proof []byte }

// accepted completes the handshake.
type accepted struct{}

// handshaker runs handshakes with the identity and key of this instance.
type handshaker struct {
	id          structs.InstanceID
	incarnation string
	key         []byte
}

func (h handshaker) identity() identity {
	return identity{ID: h.id, Incarnation: h.incarnation, Nonce: newNonce(), LastKind: structs.LastKind()}
}

// dial runs the dialer's side and returns the identity of the acceptor.
func (h handshaker) dial(ctx context.Context, conn *websocket.Conn, to structs.InstanceID) (identity, error) {
	conn.SetReadLimit(maxHandshakeFrameBytes)
	self := h.identity()
	if err := writeFrame(ctx, conn, kindHello, &hello{From: self, To: to}); err != nil {
		return identity{}, err
	}
	var reply welcome
	if err := readFrame(ctx, conn, kindWelcome, &reply); err != nil {
		return identity{}, err
	}
	if reply.From.ID != to {
		return identity{}, errors.Wrapf(ErrIdentityMismatch, "got a reply from %q, expected %q", reply.From.ID, to)
	}
	if !hmac.Equal(reply.Proof, computeProof(h.key, labelAcceptor, self, reply.From)) {
		return identity{}, ErrKeyMismatch
	}
	ownConfirm := confirm{Proof: computeProof(h.key, labelDialer, self, reply.From)}
	if err := writeFrame(ctx, conn, kindConfirm, &ownConfirm); err != nil {
		return identity{}, err
	}
	return reply.From, readFrame(ctx, conn, kindAccepted, &accepted{})
}

// accept runs the acceptor's side and returns the identity of the dialer.
func (h handshaker) accept(ctx context.Context, conn *websocket.Conn) (identity, error) {
	conn.SetReadLimit(maxHandshakeFrameBytes)
	var request hello
	if err := readFrame(ctx, conn, kindHello, &request); err != nil {
		return identity{}, err
	}
	if err := h.checkHello(request); err != nil {
		return identity{}, err
	}
	self := h.identity()
	reply := welcome{From: self, Proof: computeProof(h.key, labelAcceptor, request.From, self)}
	if err := writeFrame(ctx, conn, kindWelcome, &reply); err != nil {
		return identity{}, err
	}
	var dialerConfirm confirm
	if err := readFrame(ctx, conn, kindConfirm, &dialerConfirm); err != nil {
		return identity{}, err
	}
	if !hmac.Equal(dialerConfirm.Proof, computeProof(h.key, labelDialer, request.From, self)) {
		return identity{}, ErrKeyMismatch
	}
	return request.From, writeFrame(ctx, conn, kindAccepted, &accepted{})
}

func (h handshaker) checkHello(request hello) error {
	if request.To != h.id {
		return errors.Wrapf(ErrIdentityMismatch, "this instance is %q, the peer expected %q", h.id, request.To)
	}
	if request.From.ID == "" || request.From.ID == h.id {
		return errors.Wrapf(ErrIdentityMismatch, "invalid peer id %q", request.From.ID)
	}
	if len(request.From.Nonce) != nonceBytes {
		return errors.Wrap(ErrMalformedFrame, "nonce has the wrong length")
	}
	return nil
}

func writeFrame(ctx context.Context, conn *websocket.Conn, kind structs.MessageKind, body any) error {
	frame, err := encodeBody(kind, body)
	if err != nil {
		return err
	}
	return conn.Write(ctx, websocket.MessageBinary, frame)
}

func readFrame(ctx context.Context, conn *websocket.Conn, want structs.MessageKind, body any) error {
	_, frame, err := conn.Read(ctx)
	if err != nil {
		return err
	}
	kind, encoded, err := splitFrame(frame)
	if err != nil {
		return err
	}
	if kind != want {
		return errors.Wrapf(ErrMalformedFrame, "got a frame of kind %d in the handshake, expected %d", kind, want)
	}
	return decodeBody(encoded, body)
}
