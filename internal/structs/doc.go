// Package structs defines the types shared by the components of an instance:
// identifiers, entities, policies, events, commands and the messages between
// instances. It contains no I/O and no policy.
//
// The core of an instance is deterministic. Each component provides
//
//	Tick(now time.Time, events []Event) []Command
//
// and never reads a clock, starts a goroutine or performs I/O. Adapters turn external
// input into events and execute commands.
package structs
