// Package wire defines the HTTP protocols of the systems outside banyanglade:
// the platform's log service and membership list, the model engines, and the
// tool and plain services. The adapters (internal/logclient, internal/target)
// and the stand-ins (internal/standin) share these types. The package contains
// no logic.
package wire
