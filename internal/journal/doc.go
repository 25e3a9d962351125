// Package journal holds the records of a shard's journal stream and the state
// that replaying them gives.
//
// The log is the only arbiter of who owns a shard. A claim names the next
// epoch; the first claim of an epoch in offset order wins, and a fenced record
// of an older epoch behind a newer claim is void to every reader. Unfenced
// records state what has happened or never will, so they count from any epoch.
//
// Everything here is a function of values: no I/O, clock or randomness.
package journal
