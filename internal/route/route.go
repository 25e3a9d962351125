// Package route holds the operator's routes and services and matches requests to
// routes. It does no I/O.
package route

import (
	"net"
	"slices"
	"strings"
	"time"

	"github.com/banyanglade/banyanglade/internal/org"
)

// Kind defines how often a request of a route may run and the form of its response.
type Kind uint8

const (
	// Repeatable requests are idempotent.
	Repeatable Kind = iota
	// Once requests run at most once for each attempt of a caller.
	Once
	// Stream requests are answered with server-sent events.
	Stream
)

// Split assigns a fraction of a route's requests to a service.
type Split struct {
	Service string
	// Weight is relative to the other splits of the route.
	Weight int
}

// Route defines how requests for a host and path prefix are handled.
type Route struct {
	Name string
	// Host is in lower case, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds the time from the arrival of a request to the end of its response.
	Timeout time.Duration
	// LatencyGoal is the target latency of a response.
	LatencyGoal time.Duration
	// GapGoal is the target bound on the pause between two events.
	GapGoal time.Duration
	// Priority is the route's priority; 0 is the most urgent.
	Priority int
	// Splits has at least one entry.
	Splits []Split
	// MaxTargets bounds the targets that run one attempt of a caller; at least 1.
	MaxTargets int
	// Resumable indicates that a stream can continue at another target after its last
	// event.
	Resumable bool
	// Affinity indicates that a target is faster for a key it has handled before.
	Affinity bool
	// Retention is how long a program's state is retained after its last call. The
	// route carries turns of programs if it is above 0.
	Retention time.Duration
	// StoresTurns indicates that a turn carries its new input only and that the
	// instances store the conversation before it.
	StoresTurns bool
	// Anonymous indicates that requests without a known key are admitted.
	Anonymous bool
}

// Retryable reports whether a request that may have run can be sent again.
func (r *Route) Retryable() bool {
	return r.Kind == Repeatable || (r.Kind == Stream && r.Resumable)
}

// Uses reports whether requests of the route may go to a service.
func (r *Route) Uses(service string) bool {
	return slices.ContainsFunc(r.Splits, func(s Split) bool { return s.Service == service })
}

// Service is a group of interchangeable targets.
type Service struct {
	Name string
	// MaxConnections bounds the connections of all callers to one target.
	MaxConnections int
	// Engine is set for model engines.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine runs concurrently.
	Slots int
	// CacheTokens is the size of one engine's prompt cache.
	CacheTokens int
	// TokensPerEvent is the number of generated tokens in a stream event.
	TokensPerEvent int
}

// Limits bounds what a caller may send. Zero values mean no limit.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	// IdleTimeout is how long a caller may keep a connection without a request.
	IdleTimeout time.Duration
}

// Settings is one version of the operator's settings.
type Settings struct {
	Version  int64
	Routes   []*Route
	Services map[string]*Service
	Limits   Limits
	// Organisations is nil if the operator lists none; requests then need no key.
	Organisations *org.Set
}

// Table is a version of the settings, indexed for lookups. It is immutable.
type Table struct {
	Settings
	// byHost indexes routes by host, then by prefix.
	byHost map[string]map[string]*Route
}

// NewTable indexes settings.
func NewTable(settings Settings) *Table {
	t := &Table{Settings: settings, byHost: make(map[string]map[string]*Route)}
	for _, r := range settings.Routes {
		byPrefix := t.byHost[r.Host]
		if byPrefix == nil {
			byPrefix = make(map[string]*Route)
			t.byHost[r.Host] = byPrefix
		}
		byPrefix[r.Prefix] = r
	}
	return t
}

// SameStreams reports whether another table sends all streams to the same services, with
// the same timeouts.
func (t *Table) SameStreams(other *Table) bool {
	streams, others := t.streams(), other.streams()
	return len(streams) == len(others) && !slices.ContainsFunc(streams, func(r *Route) bool {
		o := other.byHost[r.Host][r.Prefix]
		return o == nil || o.Kind != Stream || o.Timeout != r.Timeout || !slices.Equal(o.Splits, r.Splits)
	})
}

// LongestStream returns the longest timeout of the routes of streams.
func (t *Table) LongestStream() time.Duration {
	var longest time.Duration
	for _, r := range t.streams() {
		longest = max(longest, r.Timeout)
	}
	return longest
}

// streams lists the routes of streams.
func (t *Table) streams() []*Route {
	var streams []*Route
	for _, byPrefix := range t.byHost {
		for _, r := range byPrefix {
			if r.Kind == Stream {
				streams = append(streams, r)
			}
		}
	}
	return streams
}

// Match finds the route of the host with the longest prefix of the path. The host may
// include a port.
func (t *Table) Match(host, path string) (*Route, bool) {
	byPrefix, ok := t.byHost[normalizeHost(host)]
	if !ok {
		return nil, false
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := byPrefix[path[:end+1]]; ok {
			return r, true
		}
	}
	return nil, false
}

// normalizeHost returns a host in lower case without its port.
func normalizeHost(host string) string {
	if strings.IndexByte(host, ':') >= 0 {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(host)
}

// ServiceFor selects a service by weight. Equal hashes select the same service as long
// as the splits are unchanged.
func (r *Route) ServiceFor(hash uint64) string {
	if len(r.Splits) == 1 {
		return r.Splits[0].Service
	}
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	if total <= 0 {
		return r.Splits[0].Service
	}
	point := int(hash % uint64(total))
	for _, s := range r.Splits {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return r.Splits[len(r.Splits)-1].Service
}
