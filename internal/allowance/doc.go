// Package allowance keeps what organisations ask of all instances together
// within their limits: at most rate*window + burst requests in any window, over
// a tolerance that the operator sets, whoever is cut off, paused or lost. Nothing
// of it is stored, and it works while the platform's store is away.
//
// # Votes
//
// Organisations are spread over slots. A slot has some voters, chosen by
// rendezvous hashing among all instances that are listed, whether they answer or
// not. Each voter holds an equal part of every limit of the slot and lends it to
// one coordinator at a time, for voteTTL. A coordinator asks its voters again
// and again; it deals out what the votes that it holds allow, and nothing without
// any. An instance that is cut off, and whoever else takes itself for the
// coordinator, therefore has the parts of those voters alone that it reaches.
//
// # The invariant
//
// With rate r, burst b, window W, tolerance D = over*(r*W + b) + slack:
//
//	r*W + level + start + fresh*r*voteTTL <= r*W + b + D - late
//
// level bounds what all coordinators together have saved up: a coordinator keeps
// no more than its share of the votes of it, and nothing once it holds no vote.
// start is what a voter brings along when it changes its coordinator, at most
// once in a window. A voter that starts does not know to whom its last start lent
// its part; its vote counts for the part fresh until voteTTL after its start.
// terms (terms.go) divides D among level, start, fresh and late, which is for
// requests that reach their targets later than others and for those that run
// twice.
//
// Coordinators hold lists of voters from their own view of the instances; while
// views differ by some, the sum of two coordinators' parts may pass one by as
// many voters of a slot. A machine that starts twice in a window brings start
// along twice.
//
// # Programs
//
// A program fails as a whole if one of its requests is refused. Near the limit
// first turns are therefore let in only as fast as the limit carries whole
// programs, by what programs of the organisation needed so far, and only while
// a reserve for those under way is left.
//
// # Messages
//
// Each request is asked for, together with all that wait at its instance. Requests
// dealt out ahead of need were weighed: one instance sees few requests of one
// organisation, so that 15 of 100 found some there, and what lay unused at 87
// instances passed the limit of one by 2 in 100, since it came back to the
// coordinator as if it had been saved up.
package allowance
