// Package standin holds the test stand-ins of the systems outside banyanglade:
// the log service, the membership list, model engines, tool services and plain
// services. They speak the protocols of internal/wire over HTTP. They are for
// tests and trials only and are never part of the product binary.
//
// This package itself holds what the stand-ins share: an HTTP server on a free
// port, JSON helpers, and a history of values for lagging reports.
package standin
