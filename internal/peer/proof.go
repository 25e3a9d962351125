package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"

	"github.com/banyanglade/banyanglade/internal/structs"
)

const nonceBytes = 32

// The labels separate the proofs of the two sides, so that neither can be
// reflected as the other.
const (
	labelAcceptor = "banyanglade peer acceptor"
	labelDialer   = "banyanglade peer dialer"
)

// identity identifies one side of a handshake.
type identity struct {
	ID          structs.InstanceID
	Incarnation string
	Nonce       []byte
	// LastKind is the highest kind of message that this side decodes, 0 in builds that
	// do not state it.
	LastKind structs.MessageKind
}

// lastUnstatedKind is the highest kind of message in builds that do not state theirs.
const lastUnstatedKind = structs.KindVoteReply

// decodes reports whether the side decodes messages of a kind. It would end the
// connection at any other.
func (id identity) decodes(kind structs.MessageKind) bool {
	return kind <= max(id.LastKind, lastUnstatedKind) || kind >= kindHello
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	// rand.Read never returns an error; it crashes the program instead.
	_, _ = rand.Read(nonce)
	return nonce
}

// computeProof returns the HMAC-SHA256 with which the side named by label proves
// that it holds the key. It covers the protocol version and both identities.
func computeProof(key []byte, label string, dialer, acceptor identity) []byte {
	mac := hmac.New(sha256.New, key)
	fields := [][]byte{
		[]byte(label), {structs.ProtocolVersion},
		[]byte(dialer.ID), []byte(dialer.Incarnation), dialer.Nonce,
		[]byte(acceptor.ID), []byte(acceptor.Incarnation), acceptor.Nonce,
	}
	for _, field := range fields {
		// The length prefix makes the encoding of the fields unambiguous.
		_, _ = mac.Write(binary.BigEndian.AppendUint32(nil, uint32(len(field))))
		_, _ = mac.Write(field)
	}
	return mac.Sum(nil)
}
