package soak

import (
	"fmt"
	"slices"
	"time"
)

// The operator's organisations, and what is checked of them: who is let in, what
// targets are told, and that limits hold over all instances together.

// limit is an organisation's limit with the tolerance of the deployment.
type limit struct {
	perSecond float64
	burst     float64
}

const (
	// quotaWindow, quotaOver and quotaSlack are the tolerance of limits that the
	// instances are told: requests are counted in any such window.
	quotaWindow = 2 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 10
)

// maxRequests is how many requests may run in any window.
func (l limit) maxRequests() int {
	return int((l.perSecond*quotaWindow.Seconds()+l.burst)*(1+quotaOver) + quotaSlack)
}

// organisation is one of the operator's.
type organisation struct {
	name string
	key  string
	// limit is nil if the operator sets none.
	limit *limit
}

// organisations are those of each deployment. The limits lie below what their
// programs ask for.
var organisations = []organisation{
	{name: "north", key: "key-of-north"},
	{name: "south", key: "key-of-south"},
	{name: "east", key: "key-of-east", limit: &limit{perSecond: 20, burst: 10}},
	{name: "west", key: "key-of-west", limit: &limit{perSecond: 6, burst: 6}},
}

// forgedKey is a key that no settings ever held.
const forgedKey = "key-of-nobody"

// organisationOf chooses the organisation of a caller.
func organisationOf(seed uint64) organisation { return organisations[seed%uint64(len(organisations))] }

// tenants lists the organisations as the operator writes them.
func tenants() []any {
	var list []any
	for _, o := range organisations {
		entry := map[string]any{"Name": o.name, "ApiKeys": []string{o.key}}
		if o.limit != nil {
			entry["RatePerS"], entry["Burst"] = o.limit.perSecond, o.limit.burst
		}
		list = append(list, entry)
	}
	return list
}

// checkOrganisations judges what targets ran by the keys of the requests.
func (h *history) checkOrganisations() []violation {
	var found []violation
	ran := make(map[string][]time.Time)
	for id, runs := range h.runs {
		a := h.attemptsByID[id]
		if a == nil {
			continue // checkRuns tells
		}
		for _, r := range runs {
			switch {
			case r.credential != "":
				found = append(found, violated(invariantKeys, "%s came to %s with a key", id, r.target.id)...)
			case a.organisation == "":
				found = append(found, violated(invariantKeys, "%s ran at %s with a forged key", id, r.target.id)...)
			case r.organisation != a.organisation:
				found = append(found, violated(invariantKeys, "%s of %s ran at %s for %q", id, a.organisation, r.target.id, r.organisation)...)
			}
			ran[a.organisation] = append(ran[a.organisation], r.start)
		}
	}
	return append(found, checkLimits(ran)...)
}

// checkLimits counts the runs of each organisation in all windows.
func checkLimits(ran map[string][]time.Time) []violation {
	var found []violation
	for _, o := range organisations {
		if o.limit == nil {
			continue
		}
		times := ran[o.name]
		slices.SortFunc(times, time.Time.Compare)
		from := 0
		for i, at := range times {
			for at.Sub(times[from]) >= quotaWindow {
				from++
			}
			if count := i - from + 1; count > o.limit.maxRequests() {
				return append(found, violation{invariantLimits, fmt.Sprintf("%s ran %d requests within %s, %d are allowed",
					o.name, count, quotaWindow, o.limit.maxRequests())})
			}
		}
	}
	return found
}
