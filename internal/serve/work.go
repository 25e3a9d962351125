package serve

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// workIDBytes is the length of an id of work.
const workIDBytes = 16

// workOf identifies what the caller asks for over all of its attempts. Those have
// different ids, deadlines and, of a stream, numbers of the last event.
func (x *transfer) workOf() Work {
	program := x.scoped(x.call.Program)
	digest := sha256.New()
	for _, field := range []string{
		program, x.call.Session, x.scoped(x.call.AffinityKey), x.call.PreviousTurn, x.request.Method, x.request.Host, x.uri(),
	} {
		writeField(digest, []byte(field))
	}
	writeField(digest, x.body)
	id := hex.EncodeToString(digest.Sum(nil)[:workIDBytes])
	key := id
	if x.call.Program != "" {
		key = program
	}
	return Work{ID: id, Key: key, Lifetime: callerLifetime * x.route.Timeout}
}

// writeField adds a field to a digest, with its length so that fields cannot run into
// each other.
func writeField(digest hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	digest.Write(length[:])
	digest.Write(field)
}
