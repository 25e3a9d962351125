// Package bench measures the decisions of a dispatcher. It drives the real
// dispatch core with a virtual clock against the engine model of the
// stand-ins: one pool, its dispatcher, its engines, and synthetic programs.
// Owners are reduced to what a dispatcher sees of them. All randomness comes
// from fixed seeds, so a figure is repeatable.
package bench
