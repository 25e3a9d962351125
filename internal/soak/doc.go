// Package soak is a randomized fault test. It runs instances as separate processes
// with stand-ins for the platform's store, the targets and the callers, injects
// faults from outside the processes, and checks the recorded history of callers and
// targets against a set of invariants.
//
// The seed of a run determines the faults and the requests of callers. Processes
// run in real time, so runs with the same seed are similar but not identical: a
// deterministic test in the package at fault should cover what a seed finds.
package soak
