// Package dispatch queues the calls of each pool and grants them permits at
// targets.
//
// A Dispatcher holds soft state only: it is rebuilt from the requests that
// owners send again and from the runs that they register. No safety property
// depends on it; two dispatchers of one pool can at most admit too many calls
// for a short time. Ordering, placement and retention follow the rules of
// package policy.
package dispatch
