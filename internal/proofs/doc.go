// Package proofs runs scenarios of failure against real instances beside
// stand-ins of the outside systems, and checks what must always hold.
//
// A scenario starts instances as processes (internal/testkit), lets callers run
// programs, brings about faults, and then collects evidence: what the callers
// saw, what the targets' ledgers hold, what the log holds, and what the engines
// still cache. The checker (Check) is a function of that evidence alone. It
// never reads what an instance claims about itself, except for the settings in
// force, which nothing else shows.
//
// The package is no part of the product.
package proofs
