// Package proofs runs failure scenarios against real instances and stand-ins of
// the external systems, and checks invariants.
//
// A scenario starts instances as processes (internal/testkit), runs programs
// against them, injects faults, and then collects evidence: the responses that
// callers received, the targets' ledgers, the records of the log, and the
// engines' caches. The checker (Check) is a pure function of that evidence. It
// does not rely on what instances report about themselves, except for the
// settings in force, which cannot be observed otherwise.
//
// The package is used for testing only.
package proofs
