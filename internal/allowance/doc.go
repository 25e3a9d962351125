// Package allowance limits the requests of organisations over all instances together:
// at most rate*window + burst requests in any window, within a tolerance set by the
// operator, while instances are partitioned, paused or crash. It stores nothing and
// works while the platform's store is unavailable.
//
// # Votes
//
// Organisations are hashed to slots. A slot has a number of voters, chosen by
// rendezvous hashing among all listed instances, available or not. Each voter holds an
// equal part of every limit of the slot and leases it to one coordinator at a time,
// for voteTTL. A coordinator renews its votes periodically and allocates only what
// they allow. A partitioned instance, or another one that considers itself the
// coordinator, has only the parts of the voters that it reaches.
//
// # The invariant
//
// With rate r, burst b, window W, and the Tolerance D = fraction*(r*W + b) + requests:
//
//	r*W + level + carryOver + freshWeight*r*voteTTL <= r*W + b + D - late
//
// level bounds what all coordinators together have saved up: a coordinator keeps no
// more than the fraction of it that its votes allow, and nothing without votes.
// carryOver is what a voter adds when it changes its coordinator, at most once in a
// window. A voter that restarts does not know to which coordinator its part was
// leased, so until voteTTL after its start its vote has the weight freshWeight. bounds
// (bounds.go) divides D among level, carryOver, freshWeight and late, which covers
// requests that reach their targets late and requests that run twice.
//
// Coordinators compute the voters from their own view of the instances. While views
// differ, the sum of two coordinators' parts may exceed one by the voters that differ.
// A machine that starts twice in a window adds carryOver twice.
//
// # Programs
//
// A program fails as a whole if one of its requests is refused. Near the limit first
// turns are therefore admitted at the rate at which the limit carries whole programs,
// estimated from earlier programs of the organisation, and only while a reserve for
// programs in progress is left.
//
// # Messages
//
// An instance requests permits for all requests that wait at it, and nothing ahead of
// need: unused permits would return to the coordinator as if they had been saved up, and
// exceed the limit (by 2 in 100 for one organisation at 87 instances). Few would be used,
// since one instance sees few requests of one organisation: 15 of 100 found a permit.
package allowance
