// Package httpapi is the HTTP adapter of an instance: it turns requests of
// callers and operators into events for the core, and commands of the core
// into answers. It decides nothing: order, budgets, placement and refusals
// under load are the core's.
//
// A request is registered under a request identifier, its event is posted to
// the core, and the handler waits for the core's commands, which arrive
// through Server.Deliver. Deliver never blocks, so a slow caller cannot hold
// up the core.
//
// docs/API.md describes the routes, headers and errors.
package httpapi
