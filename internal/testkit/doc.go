// Package testkit runs real instances against stand-ins of the outside systems,
// for tests, the quickstart and the load driver. It is not part of the product.
// The stand-ins run in the calling process, which can inspect their ledgers and
// inject faults. Each instance is a separate process that can be killed and
// paused.
package testkit
