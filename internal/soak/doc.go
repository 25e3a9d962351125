// Package soak runs instances as separate processes with stand-ins of the
// platform's store, of targets and of callers, brings about faults from outside
// them, and checks what callers and targets saw.
//
// A run has a seed, which decides on the faults and on what callers do. The
// processes run in real time, so that two runs of a seed are alike and not the
// same: a seed that failed is kept with its cause, and what it found gets a test
// of its own where the cause lies.
package soak
