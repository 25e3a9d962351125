// Package bench benchmarks the decisions of the dispatcher. It drives the real
// dispatch core on a virtual clock against the engine model of the stand-ins:
// one pool with its dispatcher, its engines, and synthetic programs. Owners are
// simulated only as far as the dispatcher interacts with them. Runs are
// deterministic for a given seed.
package bench
