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

// decoy stands at the address of entries that no target can have written. Any
// request there shows that an instance has used one.
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
	go func() { _ = d.server.Serve(listener) }() // it ends with the deployment
	return d, nil
}

func (d *decoy) stop() { _ = d.server.Close() } // nothing is lost

// foreignEntries are what other writers put in place of a target's entry, each
// with one fault; %s is the address.
var foreignEntries = []string{
	`{"Service":"app","Address":"%s","Zone":"dc","Version":"v1","State":"ready","ColdRemainingMs":0,"Sequence":1}`,
	`{"Service":"app","Address":"%s","Zone":"dc","Version":"v1","Slots":"24","State":"ready","ColdRemainingMs":0,"Sequence":1}`,
	`{"Service":"app","Address":"%s","Zone":"dc","Version":"v1","Slots":24,"State":"warming","ColdRemainingMs":0,"Sequence":1}`,
	`{"Service":"engine","Address":"%s","Zone":"dc","Version":"v1","Slots":24,"State":"warm","ColdRemainingMs":0,"Sequence":1}`,
	`{"Service":"engine","Address":"%s","Zone":"dc","Version":"v1","Slots":24,"State":"ready","ColdRemainingMs":0}`,
	`{"Service":"engine","Address":"%s","Zone":"dc","Version":"v1","Slots":24,"State":"ready","ColdRemainingMs":0,"Sequence":1,"born":"x"}`,
	`{"Service":"app","Address":"%s"` + "\xff",
}

// maxEntryFaultPause bounds the pause between two such faults.
const maxEntryFaultPause = 1500 * time.Millisecond

// runEntryFaults troubles the entries of targets until the context ends. It draws from
// numbers of its own, so that the other faults of a seed stay what they were.
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
			inj.inject("entry of another writer at "+key, 0, func() error {
				inj.deployment.putForeignEntry(key, text)
				return nil
			})
		}
	}
}

// putForeignEntry writes an entry that no target can have written.
func (d *deployment) putForeignEntry(key, text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.store.Put(platform.TopicTargets, key, fmt.Appendf(nil, text, d.decoy.address))
}

// restartTarget ends a target and starts it again under its id.
func (d *deployment) restartTarget(t *target) error {
	if !d.remove(t) {
		return nil
	}
	t.stop()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.targetsStarted++
	next, err := startTarget(t.id, t.service, d.history, uint64(d.targetsStarted))
	if err != nil {
		return err
	}
	next.startedMS = max(next.startedMS, t.startedMS+1)
	d.targets = append(d.targets, next)
	d.register(next, "ready")
	return nil
}
