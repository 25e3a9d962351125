// Package owner implements the single writer of the shards that this instance
// owns. It orders the calls of each program's lanes, maintains budgets, history
// digests and idempotency records, and runs calls at targets under permits from
// the pool's dispatcher. All durable state goes through the shard's journal
// stream.
//
// The package is deterministic: Tick takes the time and events and returns
// commands. It does no I/O and uses no clock, goroutine or randomness.
//
// A record is committed once it was read back from the log with no newer claim
// before it. A shard is lost when another instance's claim is read. A hold is
// the part of a budget set aside for a call's worst-case cost.
//
// Invariants and the files that maintain them:
//
//   - Each epoch has one owner, decided by the log: claim.go.
//   - A fenced record takes effect only if it is committed: append.go.
//   - A not-repeatable call has a committed Intent before its only send: run.go.
//   - "Not run" is reported only for calls that were not and never will be
//     sent: refuse.go.
//   - A lane runs one call at a time, in the order of numbers: order.go.
//   - Spent plus held amounts never exceed the budget: budget.go.
//   - Each idempotency key has one outcome: idempotency.go.
//   - The cache of a closed program is released until every target has
//     confirmed: release.go.
package owner
