// Package peer carries messages between instances over WebSocket connections.
//
// # Connections
//
// The first instance with a message to send dials, and both sides use the
// connection in both directions. If two instances dial each other at the same
// time, both connections stay open: each side keeps sending on the one that it
// registered first, so that its messages stay in order. When the connection that
// a side sends on breaks, the side closes all its connections to that instance
// and posts PeerDown, because messages may have been lost.
//
// # Frames
//
// Each WebSocket message is one frame: a version byte, a kind byte and a CBOR
// body. Structs are encoded as arrays in field order, so fields may only be
// appended to a struct unless structs.ProtocolVersion is raised.
//
// # Authentication
//
// Both sides prove that they hold the shared key by an HMAC-SHA256 over both
// nonces and identities, the acceptor first. The key is never sent or logged.
// Frames after the handshake are neither encrypted nor authenticated
// individually; use mutual TLS as well on untrusted networks.
//
// # Liveness
//
// Only watched instances are sent pings, which must be answered within the
// liveness timeout. Idle connections to other instances carry no traffic.
package peer
