// Package settings holds the settings tree: its paths and schema, the records
// that change it on the log, the policies and services resolved from it, the
// credentials of the teams, and the check of a settings file.
//
// A Tree is the state; a Proposer feeds it from the log, publishes changes and
// answers operators. Neither does I/O, reads a clock or starts a goroutine. A
// Tree may be read from any goroutine.
//
// Every instance applies the records of the settings stream in offset order
// with one rule: a record takes effect if each of its changes names the present
// version of its path. The version of a path is the offset of the record that
// last changed it, plus one, so versions only grow and a lost change stays lost.
package settings
