// Package peer carries messages between instances over WebSocket connections.
//
// # Connections
//
// A connection is opened by whichever instance has something to send first,
// and both use it in both directions. If two instances dial each other at the
// same moment, both connections stay: each side goes on writing to the one it
// took first, so that the messages of one side stay in order. When the
// connection that a side writes to breaks, the side closes the others to that
// instance too and posts PeerDown: messages may have been lost.
//
// # Frames
//
// Each WebSocket message is one frame: a version byte, a kind byte and a CBOR
// body. Structs are CBOR arrays in the order of their fields, so a field may
// be added only at the end of a struct unless structs.ProtocolVersion grows.
//
// # Authentication
//
// Both sides prove with HMAC-SHA256 over both nonces and identities that they
// hold the shared key, the accepting side first. The key is never sent or
// logged. The frames after the handshake are neither encrypted nor
// authenticated one by one: on a network that others can write to, use mutual
// TLS as well.
//
// # Liveness
//
// Only watched instances get heartbeats: a ping that must come back within the
// liveness timeout. An idle connection to any other instance costs no traffic.
package peer
