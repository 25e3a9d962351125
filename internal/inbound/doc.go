// Package inbound bounds what the clients of a listener cost before their requests reach
// a handler: the number of their connections, the memory of headers, and how long a
// client may take for a header or stay idle. A header is passed on once it is complete
// and within the limits, so that the HTTP server parses each byte of it once.
//
// If there are too many connections or bytes, those least likely to carry a request are
// closed first: refused ones, then the longest idle, then the longest without a complete
// header, then the longest without a complete body. Connections with a whole request in
// progress are closed only by Guards whose configuration allows it.
package inbound
