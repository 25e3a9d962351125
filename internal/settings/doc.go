// Package settings implements the settings tree: its paths and schema, the records on
// the log that change it, the policies and services resolved from it, the credentials
// of the teams, and the validation of settings files.
//
// A Tree is the state. A Proposer updates it from the log, publishes changes and
// replies to operators. Neither performs I/O, reads a clock or starts a goroutine. A
// Tree may be read from any goroutine.
//
// Every instance applies the records of the settings stream in offset order by the
// same rule: a record takes effect if each of its changes names the current version of
// its path as base. The version of a path is one plus the offset of the record that
// last changed it. Versions therefore only grow, and a rejected change stays rejected.
package settings
