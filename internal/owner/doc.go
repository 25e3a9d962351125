// Package owner implements the single writer of the shards that this instance
// owns. It orders the calls of each program's lanes, maintains budgets, history
// digests and idempotency records, and runs calls at targets under permits from
// the pool's dispatcher. All durable state goes through the shard's journal
// stream.
//
// The package is deterministic: Tick takes the time and events and returns
// commands. It does no I/O and uses no clock, goroutine or randomness.
//
// A record is committed once it was read back from the log and took effect. A
// fenced record has no effect after another instance's newer claim. A shard is
// lost when such a claim is read. A hold is the part of a budget set aside for
// the worst-case cost of a call.
//
// Invariants and the files that maintain them:
//
//   - Each epoch has one owner, decided by the log: claim.go.
//   - Fenced records are acted on only once they are committed: append.go.
//   - A not-repeatable call has a committed Intent before its only send: run.go.
//   - "Not run" is reported only for calls that were not and never will be
//     sent: refuse.go.
//   - A lane runs one call at a time, in the order of numbers: order.go.
//   - Spent plus held amounts never exceed the budget: budget.go.
//   - Each idempotency key has one outcome: idempotency.go.
//   - The release of a closed program's cache is repeated until every target
//     has confirmed it: release.go.
package owner
