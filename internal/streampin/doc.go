// Package streampin remembers the software version at which each stream began. Targets
// of several versions may serve one service, and a stream must continue at the version
// that began it, whichever instance its caller resumes it through.
//
// # Pins
//
// The instance that forwards a stream records a pin before the caller receives the first
// event, and sends it to other instances, chosen by rendezvous hashing of the stream's
// id. An instance that is to resume the stream asks those that rank first for the pin:
// the instance that began the stream may have crashed by then. Pins are kept in memory
// for the lifetime of the stream, within which its caller may resume it.
//
// # Services with one version
//
// A version is the certain one of a service if there has been no other for the lifetime
// of a stream, maxUnlisted and maxListAge, in a list of targets that is at most
// maxListAge old and has been followed without a gap all that time: no target of another
// version can have begun a stream that is still in progress. Nor may streams be in progress
// that began while the routes led to other services or had other timeouts. An instance
// resumes such streams without a pin, and pins are not sent. When the version is no longer
// certain, an instance sends the pins that it has kept to itself.
//
// # The invariant
//
// A stream is resumed only at the version of its pin, or at the certain one of its
// service. Otherwise the request is refused. A lost message or instance may make the
// version unknown. A stream of a version that is not in the list here yet is not taken
// for one of the certain version: unless all instances that may hold the pin reply that
// they know neither the pin nor another version, the list must have been current after the
// request arrived.
package streampin
