// Package standin holds the test stand-ins of the systems outside banyanglade:
// the log service, the membership list, model engines, tool services and plain
// services. They speak the protocols of internal/wire over HTTP. They are for
// tests and trials only and are not part of the product binary.
//
// This package itself contains what the stand-ins share: an HTTP server on a
// free port, JSON helpers, and a history of values for reports that lag.
package standin
