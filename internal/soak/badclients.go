package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/banyanglade/banyanglade/internal/delay"
)

// Bounds of the crowds of clients that do not keep to the protocol, and the machine of the
// instances that they meet.
const (
	// crowdSize is the number of clients of a crowd, crowdBytes what each sends at most.
	crowdSize  = 400
	crowdBytes = 64 << 10
	// maxCrowdPause bounds the pause between two crowds, maxCrowdDuration how long the
	// connections of one stay open.
	maxCrowdPause    = time.Second
	maxCrowdDuration = 3 * time.Second
	crowdMemoryMB    = 96
	crowdMaxFDs      = 2000
)

// badClient is how a client of a crowd misbehaves: it sends a beginning, then repeats a
// text up to crowdBytes, and keeps its connection open.
type badClient struct{ name, beginning, repeated string }

// stoppedBody begins a request that no target may get, as its body does not arrive.
var stoppedBody = fmt.Sprintf("POST /once/x HTTP/1.1\r\nHost: %s\r\nBanyanglade-Request-Id: stopped\r\nBanyanglade-Credential: %s\r\n",
	host, organisations[0].key)

var badClients = []badClient{
	{"no bytes", "", ""},
	{"empty lines", "", "\r\n"},
	{"many small fields", "POST /once/x HTTP/1.1\r\n", "a:\r\n"},
	{"long line", "GET /", "a"},
	{"stopped small bodies", stoppedBody + "Content-Length: 1000\r\n\r\n1", ""},
	{"stopped large bodies", stoppedBody + "Content-Length: 100000\r\n\r\n", "1"},
	{"tiny chunks", stoppedBody + "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
	{"waiting queries", "GET /topics?wait_ms=30000&keyed.op=1000000 HTTP/1.1\r\nHost: a\r\n\r\n", ""},
	{"stopped handshakes", peerUpgrade, ""},
	{"long frames", peerUpgrade + "\x82\xff\x00\x00\x00\x00\x7f\xff\xff\xff\x00\x00\x00\x00", "a"},
	{"empty frames", peerUpgrade, "\x82\x80\x00\x00\x00\x00"},
}

// peerUpgrade begins a connection between instances.
const peerUpgrade = "GET /peer HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n" +
	"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"

// machineLimits returns the limits of the instances' machines, nil for none.
func (o Options) machineLimits() map[string]any {
	if !o.BadClients {
		return nil
	}
	return map[string]any{"CpuShare": 1, "Cores": 1, "MemoryMb": crowdMemoryMB, "MaxFds": crowdMaxFDs}
}

// runBadClients sends crowds to the addresses of instances until the context ends.
func (inj *injector) runBadClients(ctx context.Context, rng *rand.Rand) {
	instances := inj.deployment.instances
	for ctx.Err() == nil {
		delay.Sleep(ctx, time.Duration(rng.Int64N(int64(maxCrowdPause))))
		inst := instances[rng.IntN(len(instances))]
		address := []string{inst.callerAddress, inst.readyAddress, inst.peerAddress}[rng.IntN(3)]
		client := badClients[rng.IntN(len(badClients))]
		duration := time.Duration(rng.Int64N(int64(maxCrowdDuration)))
		inj.inject(fmt.Sprintf("crowd at %s of %s: %s", address, inst.name, client.name), duration, func() error {
			client.crowd(ctx, address, duration)
			return nil
		})
	}
}

// crowd lets clients connect to an address and keep their connections open for a duration.
func (b badClient) crowd(ctx context.Context, address string, duration time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var clients sync.WaitGroup
	for range crowdSize {
		clients.Go(func() { b.act(ctx, address) })
	}
	clients.Wait()
}

// act is one client of a crowd. The instance may refuse or close its connection.
func (b badClient) act(ctx context.Context, address string) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	_, err = io.WriteString(conn, b.beginning)
	block := strings.Repeat(b.repeated, 512)
	for sent := 0; err == nil && block != "" && sent < crowdBytes; sent += len(block) {
		_, err = io.WriteString(conn, block)
	}
	if err == nil {
		<-ctx.Done()
	}
	_ = conn.Close()
}
