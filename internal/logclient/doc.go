// Package logclient implements the HTTP clients of the platform's services: the
// append-only log and the membership list. It executes the log commands of the
// core and posts their results as events. It never retries an append; reads are
// retried because they have no side effects.
package logclient
