package serve

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// workIDBytes is the length of an id of work.
const workIDBytes = 16

// workID identifies what the caller asks for over all of its attempts: those have
// different ids, deadlines and, of a stream, numbers of the last event.
func (x *transfer) workID() string {
	digest := sha256.New()
	for _, field := range []string{
		x.scoped(x.call.Program), x.call.Session, x.call.AffinityKey, x.call.PreviousTurn,
		x.request.Method, x.request.Host, x.uri(),
	} {
		writeField(digest, []byte(field))
	}
	writeField(digest, x.body)
	return hex.EncodeToString(digest.Sum(nil)[:workIDBytes])
}

// writeField adds a field to a digest, with its length so that fields cannot run into
// each other.
func writeField(digest hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	digest.Write(length[:])
	digest.Write(field)
}
