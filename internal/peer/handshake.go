package peer

import (
	"context"
	"crypto/hmac"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// maxHandshakeFrameBytes bounds a frame of a side that is not authenticated, in bytes.
const maxHandshakeFrameBytes = 4096

// Errors of a handshake.
var (
	ErrKeyMismatch      = errors.New("peer does not hold the shared key")
	ErrIdentityMismatch = errors.New("peer is not the expected instance")
)

// hello opens the handshake; To is the instance that the dialer wants.
type hello struct {
	From identity
	To   structs.InstanceID
}

// welcome answers a hello with the acceptor's proof.
type welcome struct {
	From  identity
	Proof []byte
}

// confirm carries the dialer's proof.
type confirm struct{ Proof []byte }

// accepted ends the handshake.
type accepted struct{}

// handshaker runs handshakes with the identity and key of this instance.
type handshaker struct {
	id          structs.InstanceID
	incarnation string
	key         []byte
}

func (h handshaker) identity() identity {
	return identity{ID: h.id, Incarnation: h.incarnation, Nonce: newNonce()}
}

// dial runs the dialer's side and returns the identity of the other.
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
		return identity{}, errors.Wrapf(ErrIdentityMismatch, "%q answered for %q", reply.From.ID, to)
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

// accept runs the acceptor's side and returns the identity of the other.
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
		return errors.Wrapf(ErrIdentityMismatch, "this is %q, not %q", h.id, request.To)
	}
	if request.From.ID == "" || request.From.ID == h.id {
		return errors.Wrapf(ErrIdentityMismatch, "peer calls itself %q", request.From.ID)
	}
	if len(request.From.Nonce) != nonceBytes {
		return errors.Wrap(ErrMalformedFrame, "nonce of a wrong length")
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
		return errors.Wrapf(ErrMalformedFrame, "kind %d in the handshake, wanted %d", kind, want)
	}
	return decodeBody(encoded, body)
}
