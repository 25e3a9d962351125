package soak

import (
	"fmt"
	"slices"
	"time"
)

// limit is the rate limit of an organisation.
type limit struct {
	perSecond float64
	burst     float64
}

const (
	// quotaWindow, quotaOver and quotaSlack configure the tolerance of limits at the
	// instances: in any window, the limit may be exceeded by the fraction quotaOver
	// plus quotaSlack requests.
	quotaWindow = 2 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 10
)

// maxRequests returns the maximum number of requests that may run in any window.
func (l limit) maxRequests() int {
	return int((l.perSecond*quotaWindow.Seconds()+l.burst)*(1+quotaOver) + quotaSlack)
}

// organisation is an organisation in the operator's settings.
type organisation struct {
	name string
	key  string
	// limit is nil if the organisation is not limited.
	limit *limit
}

// organisations are the organisations of each deployment. The limits are below the
// rate at which their programs send requests.
var organisations = []organisation{
	{name: "north", key: "key-of-north"},
	{name: "south", key: "key-of-south"},
	{name: "east", key: "key-of-east", limit: &limit{perSecond: 20, burst: 10}},
	{name: "west", key: "key-of-west", limit: &limit{perSecond: 6, burst: 6}},
}

// forgedKey is a key of no organisation.
const forgedKey = "key-of-nobody"

// organisationOf returns the organisation of the callers of a seed.
func organisationOf(seed uint64) organisation { return organisations[seed%uint64(len(organisations))] }

// tenants returns the organisations in the format of the operator's settings.
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

// checkOrganisations checks the keys and organisations of the requests that targets
// ran.
func (h *history) checkOrganisations() []violation {
	var found []violation
	ran := make(map[string][]time.Time)
	for id, runs := range h.runs {
		a := h.attemptsByID[id]
		if a == nil {
			continue // reported by checkRuns
		}
		for _, r := range runs {
			switch {
			case r.credential != "":
				found = append(found, violated(invariantKeys, "%s arrived at %s with a key", id, r.target.id)...)
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

// checkLimits checks the number of runs of each organisation in any window.
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
				return append(found, violation{invariantLimits, fmt.Sprintf("%s ran %d requests within %s, expected at most %d",
					o.name, count, quotaWindow, o.limit.maxRequests())})
			}
		}
	}
	return found
}
