package serve

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/org"
)

// KeyPolicy defines how keys are treated while neither the store nor another instance
// confirms that the settings are current.
type KeyPolicy struct {
	// ConfigDelay is the time within which new settings take effect. Once the settings
	// are older, an unknown key may be a new one.
	ConfigDelay time.Duration
	// Strict refuses all keys once the settings are older than RevokeDelay; otherwise
	// the last known keys remain valid.
	Strict      bool
	RevokeDelay time.Duration
}

// authorise finds the organisation that holds the request's key. It returns false if
// the request has been refused.
func (x *transfer) authorise() bool {
	organisations := x.table.Organisations
	if organisations == nil {
		return true
	}
	age := x.server.freshness.SettingsAge()
	policy := x.server.keyPolicy
	found, known := organisations.ByKey(x.call.Key)
	switch {
	case x.route.Anonymous && !known:
		return true
	case policy.Strict && age > policy.RevokeDelay:
		x.detail = "settings are " + age.String() + " old"
		x.refuse(http.StatusServiceUnavailable, reasonStaleKeys, retryOutage)
		return false
	case known:
		x.org = found
		return true
	case x.call.Key != org.Digest{} && age > policy.ConfigDelay:
		// The key may have been added since: the refusal must be a retryable one.
		x.detail = "unknown key, settings are " + age.String() + " old"
		x.refuse(http.StatusServiceUnavailable, reasonStaleKeys, x.server.retryAfter(retrySettings))
		return false
	}
	x.refuse(http.StatusUnauthorized, reasonUnknownKey, 0)
	return false
}

// orgName returns the organisation's name, empty if there is none.
func (x *transfer) orgName() string {
	if x.org == nil {
		return ""
	}
	return x.org.Name
}

// scoped qualifies a name chosen by the caller with its organisation.
func (x *transfer) scoped(name string) string { return org.Scope(x.orgName(), name) }

// priority returns the organisation's priority if it has one, else the route's; 0 is
// the most urgent.
func (x *transfer) priority() int {
	if x.org != nil && x.org.Priority != nil {
		return *x.org.Priority
	}
	return x.route.Priority
}

// admitOrganisation admits the request within its organisation's limit; first indicates
// that it begins a program. It returns false if the request has been refused.
func (x *transfer) admitOrganisation(first bool) bool {
	if x.org == nil || !x.org.Limit.Limited() {
		return true
	}
	permit, err := x.server.allowances.Admit(x.ctx, AllowanceRequest{
		Organisation: x.org.Name, Limit: x.org.Limit, Version: x.table.Version, First: first, Priority: x.priority(),
		Program: x.call.Program,
	})
	var over *OverLimitError
	switch {
	case err == nil:
		x.permit = permit
		return true
	case x.ctx.Err() != nil:
		x.giveUpOnContext()
	case errors.As(err, &over):
		x.detail = err.Error()
		if first {
			x.detail = "the first turn of a program: " + x.detail
		}
		x.refuse(http.StatusTooManyRequests, reasonOverLimit, over.RetryAfter)
	default:
		x.detail = err.Error()
		x.refuse(http.StatusServiceUnavailable, reasonNoAllowance, x.server.retryAfter(retryBudget))
	}
	return false
}

// releaseUnusedPermit returns the permit of a request that was not sent.
func (x *transfer) releaseUnusedPermit() {
	if x.permit != nil && x.sends == 0 {
		x.permit.Release()
	}
}
