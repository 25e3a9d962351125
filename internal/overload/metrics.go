package overload

import (
	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/policy"
)

// metrics holds the metrics of one service.
type metrics struct {
	utilization    tally.Gauge
	reporting      tally.Gauge
	reportAge      tally.Gauge
	retriesRefused tally.Counter
	// admitted is indexed by class, refused by class and cause.
	admitted map[policy.AdmissionClass]tally.Counter
	refused  map[policy.AdmissionClass]map[policy.RefusalCause]tally.Counter
}

func newMetrics(scope tally.Scope, service string) metrics {
	scope = scope.Tagged(map[string]string{"service": service})
	m := metrics{
		utilization: scope.Gauge("fill"), reporting: scope.Gauge("known_targets"),
		reportAge: scope.Gauge("report_age_seconds"), retriesRefused: scope.Counter("sends_over_retry_budget"),
		admitted: make(map[policy.AdmissionClass]tally.Counter),
		refused:  make(map[policy.AdmissionClass]map[policy.RefusalCause]tally.Counter),
	}
	for _, class := range []policy.AdmissionClass{
		policy.ClassOutside, policy.ClassFirstTurn, policy.ClassInProgress, policy.ClassOverdue,
	} {
		tags := map[string]string{"class": class.String()}
		m.admitted[class] = scope.Tagged(tags).Counter("admitted")
		m.refused[class] = make(map[policy.RefusalCause]tally.Counter)
		for _, cause := range []policy.RefusalCause{policy.CausePoolFull, policy.CauseNotInTime} {
			tags := map[string]string{"class": class.String(), "cause": string(cause)}
			m.refused[class][cause] = scope.Tagged(tags).Counter("refused")
		}
	}
	return m
}

// count records an admission decision.
func (m *metrics) count(class policy.AdmissionClass, v policy.AdmissionVerdict) {
	if v.Admit {
		m.admitted[class].Inc(1)
		return
	}
	m.refused[class][v.Cause].Inc(1)
}

// observe records the load of the pool.
func (m *metrics) observe(p policy.PoolLoad) {
	m.utilization.Update(p.Utilization)
	m.reporting.Update(float64(p.ReportingTargets))
	m.reportAge.Update(p.ReportAge.Seconds())
}
