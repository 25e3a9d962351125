package settings

import (
	"slices"
	"strings"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// view is the resolved form of the tree. It is built on first use after a change.
type view struct {
	services    []structs.Service
	byName      map[structs.ServiceName]structs.Service
	credentials []storedCredential
	policies    map[structs.Team]structs.Policy
}

// resolved returns the current view.
func (t *Tree) resolved() *view {
	t.mu.RLock()
	v := t.view
	t.mu.RUnlock()
	if v != nil {
		return v
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.view == nil {
		t.view = t.buildView()
	}
	return t.view
}

func (t *Tree) buildView() *view {
	v := &view{
		byName:   make(map[structs.ServiceName]structs.Service),
		policies: make(map[structs.Team]structs.Policy),
	}
	paths := make([]string, 0, len(t.entries))
	for path, e := range t.entries {
		if len(e.Value) > 0 {
			paths = append(paths, path)
		}
	}
	slices.Sort(paths)
	for _, path := range paths {
		loc, err := parsePath(path)
		if err != nil {
			continue
		}
		if loc.Credential != "" {
			v.addCredential(loc, t.entries[path].Value)
		}
		if loc.Key == kindKey && loc.Service != "" {
			t.addService(v, loc.Service)
		}
	}
	return v
}

// addCredential adds a well-formed credential of a team; the root has none.
func (v *view) addCredential(loc location, value []byte) {
	raw, ok := decodeJSON(value)
	if !ok || loc.Team == "" {
		return
	}
	credential, ok := decodeCredential(raw)
	if !ok {
		return
	}
	hash, _ := ParseKeyHash(credential.SHA256)
	v.credentials = append(v.credentials, storedCredential{
		Credential: Credential{Name: loc.Credential, Team: loc.Team, Role: credential.Role},
		hash:       hash,
	})
}

// addService resolves a service. Values that cannot be decoded keep their defaults.
func (t *Tree) addService(v *view, name structs.ServiceName) {
	s := structs.DefaultService(name, "")
	for _, f := range serviceFields.fields {
		path := servicesArea + "/" + string(name) + "/" + f.name
		if raw, ok := decodeJSON(t.entries[path].valueOrNil()); ok {
			f.set(&s, raw, false)
		}
	}
	if s.Kind == "" {
		return
	}
	v.services = append(v.services, s)
	v.byName[name] = s
}

// Service returns a service, false if the tree has none of that name.
func (t *Tree) Service(name structs.ServiceName) (structs.Service, bool) {
	s, ok := t.resolved().byName[name]
	return s, ok
}

// Services returns the services ordered by name.
func (t *Tree) Services() []structs.Service {
	services := slices.Clone(t.resolved().services)
	slices.SortFunc(services, func(a, b structs.Service) int {
		return strings.Compare(string(a.Name), string(b.Name))
	})
	return services
}

// Policy returns the effective policy of a team. Each key is taken from the nearest
// path upwards that sets it, and otherwise from structs.DefaultPolicy. Budgets, turns,
// weight, max_queued and retries are the minimum over all paths that set them, and
// priority is the maximum, so that a team cannot take more than the teams above it
// allow. Defaults do not limit teams.
func (t *Tree) Policy(team structs.Team) structs.Policy {
	v := t.resolved()
	t.mu.RLock()
	p, ok := v.policies[team]
	t.mu.RUnlock()
	if ok {
		return p
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p = t.resolvePolicy(team)
	if len(v.policies) >= maxCachedPolicies {
		clear(v.policies)
	}
	if t.view == v {
		v.policies[team] = p
	}
	return p
}

func (t *Tree) resolvePolicy(team structs.Team) structs.Policy {
	p := structs.DefaultPolicy()
	set := make(map[string]bool)
	for _, at := range ancestors(team) {
		for _, f := range policyFields.fields {
			raw, ok := decodeJSON(t.entries[teamKeyPath(at, f.name)].valueOrNil())
			if ok && f.set(&p, raw, set[f.name]) {
				set[f.name] = true
			}
		}
	}
	return p
}
