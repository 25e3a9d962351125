package cluster

import (
	"io"
	"net/http"
	"runtime"
	"testing"

	"github.com/banyanglade/banyanglade/internal/wire"
)

func TestClusterRegistersAndStopsTargets(t *testing.T) {
	cluster, err := Start(Settings{
		Places:  []Place{{Region: "r1", DataCentre: "dc1"}, {Region: "r2", DataCentre: "dc2"}},
		Engines: EngineGroup{Service: "model", Count: 2},
		Tools:   ServiceGroup{Service: "tool", Count: 1},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	ready := cluster.Ready()
	if got := len(cluster.Members.Current().Members); got != 6 || len(ready.Targets) != 6 {
		t.Fatalf("%d members, ready %+v", got, ready)
	}
	for _, target := range ready.Targets {
		if !healthy(target) {
			t.Errorf("target %s does not answer", target.ID)
		}
	}
	if !cluster.StopTarget("dc2-model-1") || cluster.StopTarget("dc2-model-1") {
		t.Error("a target must stop once")
	}
	for _, target := range ready.Targets {
		if stopped := target.ID == "dc2-model-1"; healthy(target) == stopped {
			t.Errorf("target %s stopped: %v", target.ID, stopped)
		}
	}
}

func TestStopRouteEndsTarget(t *testing.T) {
	cluster, err := Start(Settings{
		Places: []Place{{Region: "r1", DataCentre: "dc1"}},
		Plain:  ServiceGroup{Service: "plain", Count: 1},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	target := cluster.Ready().Targets[0]
	response, err := http.Post(target.Address+StopRoute, "", nil)
	if err != nil {
		t.Fatal(err)
	}
	// The body ends when the connection does.
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	for len(cluster.running()) > 0 || healthy(target) {
		runtime.Gosched()
	}
}

func healthy(target wire.Member) bool {
	response, err := http.Get(target.Address + wire.HealthRoute)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
