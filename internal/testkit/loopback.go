package testkit

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/cockroachdb/errors"
)

// LoopbackHost is a loopback address for one instance. With one of its own its
// ports are never taken for outgoing connections, which come from 127.0.0.1.
func LoopbackHost() string {
	const most = 250
	return fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(most), 1+rand.IntN(most), 1+rand.IntN(most))
}

// FreeAddress is an address of a host, IP:port, on which nothing listens.
func FreeAddress(host string) (string, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", errors.Wrap(err, "find a port")
	}
	return listener.Addr().String(), listener.Close()
}
