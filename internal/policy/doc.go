// Package policy holds the decision rules of a dispatcher, one rule a file.
//
// Each rule is a function (or a small state machine) over a snapshot of plain
// values and gives a choice. Rules hold no reference to the dispatcher, do no
// I/O and read no clock. structs.Rules selects them, so that each can be
// swapped or switched off alone.
package policy
