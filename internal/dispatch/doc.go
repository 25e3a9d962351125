// Package dispatch queues the calls of pools and grants them places at
// targets.
//
// A Dispatcher is pure soft state: it is rebuilt from the requests that owners
// send again and from the runs that they register. Nothing that must be safe
// depends on it; two dispatchers of one pool can at most admit too much for a
// moment. It decides by the rules of package policy.
package dispatch
