// Package owner is the single writer of the shards that this instance owns. It
// orders the calls of each program's lanes, keeps budgets, history digests and
// idempotency records, and runs calls at targets under a permit of the pool's
// dispatcher. All that must last goes through the shard's journal stream.
//
// The package is a pure core: Tick takes the time and events and gives
// commands. It does no I/O and has no clock, goroutine or randomness; the same
// inputs give the same outputs.
//
// The invariants kept here, and where:
//
//   - One owner an epoch, decided by the log: claim.go.
//   - A record counts once read back with no newer claim before it: append.go.
//   - A not-repeatable call has a counted Intent before its only send: run.go.
//   - "Not run" is said only of what was not sent and never will be: refuse.go.
//   - One call of a lane at a time, in the order of numbers: order.go.
//   - Spent plus held never exceeds the budget: budget.go.
//   - One outcome a key: idempotency.go.
//   - Cache of a program that is gone is released until confirmed: release.go.
package owner
