package peer

import (
	"context"
	"crypto/hmac"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// handshakeLimit bounds a frame of a side that is not authenticated, in bytes.
const handshakeLimit = 4096

// Errors of a handshake.
var (
	ErrKey      = errors.New("peer does not hold the shared key")
	ErrIdentity = errors.New("peer is not the expected instance")
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
	conn.SetReadLimit(handshakeLimit)
	self := h.identity()
	if err := writeFrame(ctx, conn, kindHello, &hello{From: self, To: to}); err != nil {
		return identity{}, err
	}
	var reply welcome
	if err := readFrame(ctx, conn, kindWelcome, &reply); err != nil {
		return identity{}, err
	}
	if reply.From.ID != to {
		return identity{}, errors.Wrapf(ErrIdentity, "%q answered for %q", reply.From.ID, to)
	}
	if !hmac.Equal(reply.Proof, proof(h.key, labelAcceptor, self, reply.From)) {
		return identity{}, ErrKey
	}
	own := confirm{Proof: proof(h.key, labelDialer, self, reply.From)}
	if err := writeFrame(ctx, conn, kindConfirm, &own); err != nil {
		return identity{}, err
	}
	return reply.From, readFrame(ctx, conn, kindAccepted, &accepted{})
}

// accept runs the acceptor's side and returns the identity of the other.
func (h handshaker) accept(ctx context.Context, conn *websocket.Conn) (identity, error) {
	conn.SetReadLimit(handshakeLimit)
	var request hello
	if err := readFrame(ctx, conn, kindHello, &request); err != nil {
		return identity{}, err
	}
	if err := h.checkHello(request); err != nil {
		return identity{}, err
	}
	self := h.identity()
	reply := welcome{From: self, Proof: proof(h.key, labelAcceptor, request.From, self)}
	if err := writeFrame(ctx, conn, kindWelcome, &reply); err != nil {
		return identity{}, err
	}
	var theirs confirm
	if err := readFrame(ctx, conn, kindConfirm, &theirs); err != nil {
		return identity{}, err
	}
	if !hmac.Equal(theirs.Proof, proof(h.key, labelDialer, request.From, self)) {
		return identity{}, ErrKey
	}
	return request.From, writeFrame(ctx, conn, kindAccepted, &accepted{})
}

func (h handshaker) checkHello(request hello) error {
	if request.To != h.id {
		return errors.Wrapf(ErrIdentity, "this is %q, not %q", h.id, request.To)
	}
	if request.From.ID == "" || request.From.ID == h.id {
		return errors.Wrapf(ErrIdentity, "peer calls itself %q", request.From.ID)
	}
	if len(request.From.Nonce) != nonceBytes {
		return errors.Wrap(ErrFrame, "nonce of a wrong length")
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
		return errors.Wrapf(ErrFrame, "kind %d in the handshake, wanted %d", kind, want)
	}
	return decodeBody(encoded, body)
}
