// Package httpapi is the HTTP adapter of an instance: it converts requests of
// callers and operators to events for the core, and commands of the core to
// responses. Ordering, budgets, placement and load shedding are up to the core.
//
// Each request is registered under its identifier and posted to the core as an
// event. The handler then waits for the core's commands, which arrive through
// Server.Deliver. Deliver never blocks, so a slow caller cannot stall the core.
//
// docs/API.md describes the routes, headers and errors.
package httpapi
