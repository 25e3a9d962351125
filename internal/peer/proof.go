package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// nonceBytes is the length of a nonce.
const nonceBytes = 32

// The labels keep the proof of one side from serving as the other's.
const (
	labelAcceptor = "banyanglade peer acceptor"
	labelDialer   = "banyanglade peer dialer"
)

// identity names one side of a handshake.
type identity struct {
	ID          structs.InstanceID
	Incarnation string
	Nonce       []byte
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	// rand.Read never returns an error; it stops the process instead.
	_, _ = rand.Read(nonce)
	return nonce
}

// computeProof is the HMAC-SHA256 by which the side named by label shows that it
// holds the key, over the protocol version and both identities.
func computeProof(key []byte, label string, dialer, acceptor identity) []byte {
	mac := hmac.New(sha256.New, key)
	fields := [][]byte{
		[]byte(label), {structs.ProtocolVersion},
		[]byte(dialer.ID), []byte(dialer.Incarnation), dialer.Nonce,
		[]byte(acceptor.ID), []byte(acceptor.Incarnation), acceptor.Nonce,
	}
	for _, field := range fields {
		// Each field has its length in front: no two lists of fields give
		// the same bytes.
		_, _ = mac.Write(binary.BigEndian.AppendUint32(nil, uint32(len(field))))
		_, _ = mac.Write(field)
	}
	return mac.Sum(nil)
}
