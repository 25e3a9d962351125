// Package conversation stores the turns of programs and finds them again, so
// that a turn needs to carry its new input only. Conversations survive the
// crash of any instance, and of all of them.
//
// # Records
//
// Each turn is one record in a keyed topic of the platform's store. Its key is
// the turn's ID, and it contains the ID of the turn before it. Records never
// change, so appends need neither a condition nor a fence: repeating one writes
// the same record, a delayed one is harmless, and any instance may make it.
// Programs are hashed to the topic's partitions.
//
// # Invariants
//
// A turn is acknowledged to its caller only after the store has acknowledged
// its record. The turns in an instance's memory are a cache.
//
// A partition that holds a turn holds all turns before it: a turn that continues
// one of another partition is stored together with its predecessors. Reading one
// partition to its end therefore yields complete conversations.
//
// A turn is reported as unknown only after every partition was read to its end
// by reads that began after the request arrived: by then the store had
// acknowledged every turn that a caller saw end. Otherwise the lookup is
// uncertain.
//
// # Index
//
// The first available instance in rendezvous order indexes a partition. Other
// instances notify it of the turns that they stored and query it for turns that
// they lack. It replies from memory if it can and otherwise reads the rest of
// the partition first. Several instances may index the same partition for a
// while, which only costs additional reads.
package conversation
