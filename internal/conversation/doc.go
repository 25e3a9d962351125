// Package conversation keeps the conversations of programs whose turns carry
// their new input only, over the loss of any instance and all of them.
//
// # Records
//
// Each turn is one record in a keyed topic of the platform's store, under its
// own id, with the id of the turn before it. A record never changes, so an
// append needs no condition and no fence: a repeated one writes the same record,
// a late one does no harm, and any instance may make it. Programs are spread
// over the topic's partitions.
//
// # Invariants
//
// A turn is acknowledged to its caller only after the store has acknowledged
// its record. Copies in instances only make things faster.
//
// A partition that holds a turn holds all turns before it: a turn under another
// program's id, in another partition, takes the turns before it along. So one
// partition read to its end gives whole conversations.
//
// "Not found" is said only after every partition was read to its end, by reads
// that began after the question came: by then the store had acknowledged all
// turns that their callers saw end. Anything less is "uncertain".
//
// # Index
//
// The first usable instance in rendezvous order indexes a partition. Others
// tell it of the turns that they have kept and ask it for those that they lack.
// It answers at once what it has; if it lacks a turn, it reads on in the store
// first. Two instances may index the same partition for a while, which costs
// reads and nothing else.
package conversation
