package targets

import "time"

// versionCounts counts a service's targets by software version.
type versionCounts struct {
	targets map[string]int
	// soleSince is since when all targets have had the same version, zero while there
	// are several versions or no targets.
	soleSince time.Time
}

// add adds delta targets of a version.
func (c *versionCounts) add(version string, delta int, now time.Time) {
	if c.targets == nil {
		c.targets = make(map[string]int)
	}
	c.targets[version] += delta
	if c.targets[version] == 0 {
		delete(c.targets, version)
	}
	switch {
	case len(c.targets) != 1:
		c.soleSince = time.Time{}
	case c.soleSince.IsZero():
		c.soleSince = now
	}
}

// SoleVersion returns the software version of all targets of a service, draining ones
// included, and since when it has been the only one. It returns false if there are
// several versions or no targets.
func (r *Registry) SoleVersion(name string) (version string, since time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := &r.serviceByName(name).versions
	if counts.soleSince.IsZero() {
		return "", time.Time{}, false
	}
	for version = range counts.targets {
		return version, counts.soleSince, true
	}
	return "", time.Time{}, false
}

// HasSeveralVersions reports whether the targets of a service have different software
// versions.
func (r *Registry) HasSeveralVersions(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.serviceByName(name).versions.targets) > 1
}
