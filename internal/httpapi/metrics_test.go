package httpapi

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
)

func TestMetricsText(t *testing.T) {
	metrics := NewMetrics()
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "app", Reporter: metrics, OmitCardinalityMetrics: true,
	}, 0)
	scope.Tagged(map[string]string{"b": `x"y\z`, "a": "1"}).Counter("requests").Inc(2)
	scope.Gauge("in-flight").Update(1.5)
	scope.Timer("wait").Record(250 * time.Millisecond)
	histogram := scope.Histogram("took", tally.DurationBuckets{time.Millisecond, 100 * time.Millisecond, time.Second})
	histogram.RecordDuration(time.Microsecond)
	histogram.RecordDuration(200 * time.Millisecond)
	histogram.RecordDuration(time.Minute)
	// Close reports the recorded values.
	if err := closer.Close(); err != nil {
		t.Fatal(err)
	}
	const want = `# TYPE app_in_flight gauge
app_in_flight 1.5
# TYPE app_requests counter
app_requests{a="1",b="x\"y\\z"} 2
# TYPE app_took histogram
app_took_bucket{le="0.001"} 1
app_took_bucket{le="0.1"} 1
app_took_bucket{le="1"} 2
app_took_bucket{le="+Inf"} 3
app_took_count 3
# TYPE app_wait summary
app_wait_count 1
app_wait_sum 0.25
`
	if got := metrics.text(); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

func TestPublicRoutes(t *testing.T) {
	f := newFixture(t, nil)
	f.core.set(func(c *fakeCore) { c.health = Health{State: HealthStarting, Detail: "reading"} })
	for path, status := range map[string]int{"/healthz": 200, "/readyz": 503, "/metrics": 200} {
		response, body := f.do(http.MethodGet, path, "", "Authorization", "")
		if response.StatusCode != status {
			t.Errorf("%s: status %d: %s", path, response.StatusCode, body)
		}
		if path == "/readyz" && !strings.Contains(body, "reading") {
			t.Errorf("%s: %s", path, body)
		}
	}
}
