// Package journal defines the records of a shard's journal stream and the state
// machine that replays them.
//
// The log alone decides who owns a shard. A claim names the next epoch, and the
// first claim of an epoch in offset order wins. Every reader rejects a fenced
// record of an older epoch that follows a newer claim. Unfenced records state
// facts, so they are applied whatever their epoch.
//
// The package is deterministic: it uses no I/O, clock or randomness.
package journal
