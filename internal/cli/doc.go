// Package cli implements the banyanglade command line: subcommands that run an
// instance, and client commands that send HTTP requests to a running one.
//
// Exit codes: 0 for success, 1 for a failure or refusal, 2 for a usage error.
package cli
