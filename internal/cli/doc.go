// Package cli is the command line of banyanglade: one program with subcommands
// that run an instance, and that talk HTTP to a running one for operators.
//
// Exit codes: 0 for success, 1 for a failure or refusal, 2 for wrong usage.
package cli
