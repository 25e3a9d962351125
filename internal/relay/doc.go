// Package relay distributes the topics of the platform's store to all instances. A few
// instances per data centre, the relays, read the topics from the store; the others poll
// a relay for updates, so that the load on the store does not grow with the number of
// instances. Where a data centre has no more instances than slots, all of them are
// relays.
//
// Relay slots are records of a topic of their own. An instance takes a slot that is free,
// or whose holder is unresponsive or refused by the store, by a conditional append that
// fails if the slots have changed since they were read. Slots only decide who reads.
// Correctness does not depend on them: records are ordered by offset, and two holders of
// one slot do no harm. A process that restarts on the machine of a slot's holder keeps the
// slot.
//
// An instance whose copies get old queries several relays at once. While none of them has
// fresh copies, a few standbys read the store, and the other instances query these.
//
// When all instances start at once, each reads the slots, waits for a random delay that
// is shorter on larger machines, and reads the slots again before it takes one.
package relay
