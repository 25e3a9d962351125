// Package route holds the operator's routes and services as the instance uses
// them, and finds the route of a request. It does no I/O.
package route

import (
	"net"
	"strings"
	"time"

	"github.com/banyanglade/banyanglade/internal/org"
)

// Kind tells how often a request of a route may run and how it is answered.
type Kind uint8

// Kinds of routes.
const (
	// Repeatable requests are idempotent.
	Repeatable Kind = iota
	// Once marks requests that run at most once for each attempt of a caller.
	Once
	// Stream marks requests that are answered by a series of events.
	Stream
)

// Split is a share of a route's requests that goes to one service.
type Split struct {
	Service string
	// Weight is relative to the other splits of the route.
	Weight int
}

// Route is one rule of the operator.
type Route struct {
	Name string
	// Host is in lower case, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds the time from the arrival of a request to its whole answer.
	Timeout time.Duration
	// LatencyGoal is the time within which an answer is worth most.
	LatencyGoal time.Duration
	// GapGoal is the longest pause between two events that is still on time.
	GapGoal time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// Splits has at least one entry.
	Splits []Split
	// MaxTargets bounds the targets that run one attempt of a caller; at least 1.
	MaxTargets int
	// Resumable streams may go on at another target behind their last event.
	Resumable bool
	// Affinity tells that a target is faster for a key it handled before.
	Affinity bool
	// Retention is how long a program's state is kept after its last call;
	// above 0 the route carries the turns of programs.
	Retention time.Duration
	// StoresTurns tells that a turn carries its new input only and that the
	// conversation before it is kept here.
	StoresTurns bool
	// Anonymous requests are let in without a key, or with any.
	Anonymous bool
}

// Retryable tells whether a request that may have run may be sent again.
func (r *Route) Retryable() bool {
	return r.Kind == Repeatable || (r.Kind == Stream && r.Resumable)
}

// Service is a group of targets that do the same work.
type Service struct {
	Name string
	// MaxConnections bounds the connections of all callers to one target.
	MaxConnections int
	// Engine is set for model engines.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int
	// CacheTokens is the size of one engine's prompt cache.
	CacheTokens int
	// TokensPerEvent is the number of generated tokens that a stream event holds.
	TokensPerEvent int
}

// Limits bound what a caller may send. Zero values mean no limit.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	// IdleTimeout is how long a caller may keep a connection without a request.
	IdleTimeout time.Duration
}

// Settings is one version of what the operator set.
type Settings struct {
	Version  int64
	Routes   []*Route
	Services map[string]*Service
	Limits   Limits
	// Organisations is nil if the operator lists none: then requests need no key.
	Organisations *org.Set
}

// Table is a version of the settings, indexed for lookups. It does not change.
type Table struct {
	Settings
	// byHost finds a route by host, then by prefix.
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

// Match finds the route of a request: the longest prefix of the path among the
// routes of the host. The host may carry a port.
func (t *Table) Match(host, path string) (*Route, bool) {
	byPrefix, ok := t.byHost[hostName(host)]
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

// hostName is a host in lower case without its port.
func hostName(host string) string {
	if strings.IndexByte(host, ':') >= 0 {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(host)
}

// ServiceFor chooses a service by weight. Equal hashes choose the same service
// as long as the splits stay.
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
