package testkit

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/cockroachdb/errors"
)

// LoopbackHost returns a random loopback address for one instance. Outgoing
// connections use 127.0.0.1, so they never take a port of that address.
func LoopbackHost() string {
	const maxOctet = 250
	return fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(maxOctet), 1+rand.IntN(maxOctet), 1+rand.IntN(maxOctet))
}

// Listen listens at a free port of a random loopback address. Nothing else listens there
// once the listener is closed, while a port of 127.0.0.1 may be assigned again at once.
func Listen() (net.Listener, error) { return net.Listen("tcp", LoopbackHost()+":0") }

// FreeAddresses returns count distinct free addresses of a host, IP:port. All
// ports stay bound until the last one is found, since a released port may be
// picked again at once.
func FreeAddresses(host string, count int) ([]string, error) {
	addresses := make([]string, 0, count)
	for range count {
		listener, err := net.Listen("tcp", host+":0")
		if err != nil {
			return nil, errors.Wrap(err, "find a free port")
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}
