package serve

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/org"
)

// KeyPolicy says how long keys are trusted by an instance that hears neither
// from the store nor from another instance that does.
type KeyPolicy struct {
	// ConfigDelay is how long new settings may take to be in force. An unknown
	// key may be a new one once the settings are older than that.
	ConfigDelay time.Duration
	// Strict refuses all keys once the settings are older than RevokeDelay;
	// otherwise the keys known last go on being served.
	Strict      bool
	RevokeDelay time.Duration
}

// authorise finds the organisation that holds the request's key. It returns
// false if the request has been refused.
func (x *transfer) authorise() bool {
	organisations := x.table.Organisations
	if organisations == nil {
		return true
	}
	age := x.server.currency.SettingsAge()
	policy := x.server.keys
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
		// The key may have been added since: a caller that is told so gives up.
		x.detail = "unknown key, settings are " + age.String() + " old"
		x.refuse(http.StatusServiceUnavailable, reasonStaleKeys, x.server.retryAfter(retrySettings))
		return false
	}
	x.refuse(http.StatusUnauthorized, reasonUnknownKey, 0)
	return false
}

// orgName is the organisation's name, empty if there is none.
func (x *transfer) orgName() string {
	if x.org == nil {
		return ""
	}
	return x.org.Name
}

// scoped makes a name that the caller chose its organisation's own.
func (x *transfer) scoped(name string) string { return org.Scope(x.orgName(), name) }

// rank is how urgent the request is, 0 the most: as its organisation's priority
// says, or its route's.
func (x *transfer) rank() int {
	if x.org != nil && x.org.Priority != nil {
		return *x.org.Priority
	}
	return x.route.Priority
}

// admit lets the request in within its organisation's limit; first tells that it
// begins a program. It returns false if the request has been refused.
func (x *transfer) admit(first bool) bool {
	if x.org == nil || !x.org.Limit.Limited() {
		return true
	}
	permit, err := x.server.allowances.Admit(x.ctx, AllowanceRequest{
		Organisation: x.org.Name, Limit: x.org.Limit, Version: x.table.Version, First: first, Priority: x.rank(),
		Program: x.call.Program,
	})
	var over *OverLimitError
	switch {
	case err == nil:
		x.permit = permit
		return true
	case x.ctx.Err() != nil:
		x.giveUpInTime()
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
