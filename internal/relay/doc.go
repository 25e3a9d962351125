// Package relay spreads the topics of the platform's store to all instances. A few
// instances of each data centre, the relays, read the topics; the others ask a relay
// for what is new, so that the load on the store does not follow the number of
// instances. Where a data centre has no more instances than slots, all are relays.
//
// The slots of relays are records of a topic of their own. An instance takes a slot
// that is free, or whose holder it cannot reach, by an append on the condition that
// nobody has written since it read the slots. A slot decides who reads, never what is
// true: offsets order all records, and two holders of one slot do no harm. A process
// that starts again on the machine of a slot's holder goes on in the slot.
//
// When all start at once each instance reads the slots, waits for a time drawn at
// random, shorter on larger machines, and reads them again before it takes one.
package relay
