package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/delay"
	"github.com/banyanglade/banyanglade/platform"
)

// decoy is a server at the address of invalid target entries. A request to it shows
// that an instance used such an entry.
type decoy struct {
	server  *http.Server
	address string
}

func startDecoy(h *history) (*decoy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	d := &decoy{address: listener.Addr().String()}
	d.server = &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(
		func(w http.ResponseWriter, r *http.Request) {
			h.recordMisrouted(fmt.Sprintf("%s expected %s", r.Header.Get("Banyanglade-Request-Id"), r.Header.Get("Banyanglade-Expect-Instance")))
			w.WriteHeader(http.StatusMisdirectedRequest)
		})}
	go func() { _ = d.server.Serve(listener) }() // returns when the server is closed
	return d, nil
}

func (d *decoy) stop() { _ = d.server.Close() }

// foreignEntries are invalid target entries as another writer might put them, each
// with one error; %s is the address.
var foreignEntries = []string{
	`{"Service":"app","Address":"%s","Zone":"dc","Version":"v1","State":"ready","ColdRemainingMs":0,"Sequence":1}`,
	`{"Service":"app","Address":"%s","Zone":"dc","Version":"v1","Slots":"24","State":"ready","ColdRemainingMs":0,"Sequence":1}`,
	`{"Service":"app","Address":"%s","Zone":"dc","Version":"v1","Slots":24,"State":"warming","ColdRemainingMs":0,"Sequence":1}`,
	`{"Service":"engine","Address":"%s","Zone":"dc","Version":"v1","Slots":24,"State":"warm","ColdRemainingMs":0,"Sequence":1}`,
	`{"Service":"engine","Address":"%s","Zone":"dc","Version":"v1","Slots":24,"State":"ready","ColdRemainingMs":0}`,
	`{"Service":"engine","Address":"%s","Zone":"dc","Version":"v1","Slots":24,"State":"ready","ColdRemainingMs":0,"Sequence":1,"born":"x"}`,
	`{"Service":"app","Address":"%s"` + "\xff",
}

// maxEntryFaultPause bounds the pause between two entry faults.
const maxEntryFaultPause = 1500 * time.Millisecond

// runEntryFaults injects faults into the entries of targets until the context ends. It
// uses its own random stream, so that it does not change the other faults of a seed.
func (inj *injector) runEntryFaults(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		delay.Sleep(ctx, time.Duration(rng.Int64N(int64(maxEntryFaultPause))))
		t := inj.deployment.randomTarget(rng)
		text := foreignEntries[rng.IntN(len(foreignEntries))]
		key := fmt.Sprint("foreign-", rng.IntN(4))
		switch rng.IntN(4) {
		case 0:
			inj.inject("start "+t.id+" again", 0, func() error { return inj.deployment.restartTarget(t) })
		case 1:
			key = t.id
			fallthrough
		default:
			inj.inject("foreign entry at "+key, 0, func() error {
				inj.deployment.putForeignEntry(key, text)
				return nil
			})
		}
	}
}

// putForeignEntry writes an invalid entry that points at the decoy.
func (d *deployment) putForeignEntry(key, text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.store.Put(platform.TopicTargets, key, fmt.Appendf(nil, text, d.decoy.address))
}

// restartTarget stops a target and starts a new one with the same id.
func (d *deployment) restartTarget(t *target) error {
	if !d.removeTarget(t) {
		return nil
	}
	t.stop()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.targetsStarted++
	next, err := startTarget(t.id, t.service, t.version, d.history, uint64(d.targetsStarted), d.endTarget)
	if err != nil {
		return err
	}
	next.startedMS = max(next.startedMS, t.startedMS+1)
	d.targets = append(d.targets, next)
	d.register(next, "ready")
	return nil
}
