// Package structs holds the types that the parts of an instance share: the
// identifiers, entities, policies, events, commands and the messages between
// instances. It holds no I/O and no policy.
//
// The core of an instance is a function of values. Each component offers
//
//	Tick(now time.Time, events []Event) []Command
//
// and never reads a clock, starts a goroutine or does I/O. Adapters turn the
// outside world into events and carry out commands.
package structs
