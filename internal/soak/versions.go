package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/banyanglade/banyanglade/internal/delay"
)

const (
	firstSoftwareVersion = "v1"
	// versionComment precedes the target's software version in a comment of each event.
	versionComment = ": version "
	// maxRollPause bounds the pause between two changes of versions, maxReplacePause
	// that between the replacements of two targets.
	maxRollPause    = 1500 * time.Millisecond
	maxReplacePause = 300 * time.Millisecond
	// maxMixedStreams is the number of streams of a run that may have events of several
	// versions.
	maxMixedStreams = 2
)

var softwareVersions = []string{firstSoftwareVersion, "v1.1", "v2"}

// runVersionRolls replaces some or all engines by engines of another version, again and
// again. It uses its own random stream, so that it does not change the other faults of a
// seed.
func (inj *injector) runVersionRolls(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		version := softwareVersions[rng.IntN(len(softwareVersions))]
		engines := inj.deployment.engines()
		for _, t := range engines[:1+rng.IntN(len(engines))] {
			inj.inject(fmt.Sprintf("replace %s by version %s", t.id, version), targetDrainTime, func() error {
				return inj.deployment.drainTarget(t, version)
			})
			delay.Sleep(ctx, time.Duration(rng.Int64N(int64(maxReplacePause))))
		}
		delay.Sleep(ctx, time.Duration(rng.Int64N(int64(maxRollPause))))
	}
}

// engines lists the targets of the engine service that are registered as ready.
func (d *deployment) engines() []*target {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(d.targets), func(t *target) bool { return t.service != engineService })
}

// leaveAfter returns the number of events after which the caller breaks the connection of
// a turn that it can resume, 0 for most turns.
func (c *caller) leaveAfter(req request) int {
	if req.kind != turn || req.stored || c.rng.IntN(4) != 0 {
		return 0
	}
	return 1 + c.rng.IntN(eventsPerTurn/2)
}

// afterFailureOf returns the request for the next attempt after one that failed: it
// resumes the stream after the last event received. A stream that was refused begins
// again.
func (req request) afterFailureOf(a *attempt) request {
	req.resumes, req.after = nil, 0
	if req.kind != turn || req.stored || a.status != http.StatusOK || a.after+len(a.events) == 0 {
		return req
	}
	req.resumes, req.after = a.origin(), a.after+len(a.events)
	return req
}

// origin returns the attempt that brought the first event of the stream.
func (a *attempt) origin() *attempt {
	if a.resumes != nil {
		return a.resumes
	}
	return a
}

// checkVersions checks that streams have events of one software version. Rare overlaps of
// faults may mix a few.
func (h *history) checkVersions() []violation {
	mixed := h.mixedStreams()
	if len(mixed) <= maxMixedStreams {
		return nil
	}
	return violated(invariantVersion, "%s", strings.Join(mixed, "; "))
}

// mixedStreams describes the streams that have events of several software versions.
func (h *history) mixedStreams() []string {
	versions := make(map[*attempt][]string)
	for _, a := range h.attempts {
		versions[a.origin()] = append(versions[a.origin()], a.versions...)
	}
	var mixed []string
	for origin, all := range versions {
		slices.Sort(all)
		if distinct := slices.Compact(all); len(distinct) > 1 {
			mixed = append(mixed, fmt.Sprintf("%s has events of %v", origin.id, distinct))
		}
	}
	return mixed
}

// resumed counts the attempts that resume a stream, and those that were not refused.
func (h *history) resumed() (resumed, continued int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.attempts {
		if a.resumes == nil {
			continue
		}
		resumed++
		if a.status == http.StatusOK {
			continued++
		}
	}
	return resumed, continued
}
