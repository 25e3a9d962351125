// Package testkit starts real instances as processes beside stand-ins of the
// outside systems, for tests, the quickstart and the load driver. It is no
// part of the product. The stand-ins run in the process that uses the kit, so
// that it can read what the targets and the log saw and bring about their
// faults; instances are processes of their own, so that they can be killed and
// paused.
package testkit
