// Package policy implements the scheduling decisions, one rule per file.
//
// Each rule is a function or a small state machine that maps a snapshot of plain
// values to a decision. Rules hold no reference to the dispatcher, do no I/O and
// read no clock. structs.Rules selects the rules of the dispatcher, so that each
// can be replaced or disabled on its own.
package policy
