package cluster

import (
	"io"
	"net/http"
	"runtime"
	"strings"
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
	endpoints := cluster.Endpoints()
	if got := len(cluster.Members.Current().Members); got != 6 || len(endpoints.Targets) != 6 {
		t.Fatalf("%d members, endpoints %+v", got, endpoints)
	}
	for _, target := range endpoints.Targets {
		if !healthy(target) {
			t.Errorf("target %s is not healthy", target.ID)
		}
	}
	if !cluster.StopTarget("dc2-model-1") || cluster.StopTarget("dc2-model-1") {
		t.Error("StopTarget must return true once, then false")
	}
	for _, target := range endpoints.Targets {
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
	target := cluster.Endpoints().Targets[0]
	response, err := http.Post(target.Address+StopRoute, "", nil)
	if err != nil {
		t.Fatal(err)
	}
	// The body ends when the connection is closed.
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	for len(cluster.runningIDs()) > 0 || healthy(target) {
		runtime.Gosched()
	}
}

func TestStoppedTargetSendsNoCompleteResponse(t *testing.T) {
	cluster, err := Start(Settings{
		Places:  []Place{{Region: "r1", DataCentre: "dc1"}},
		Engines: EngineGroup{Service: "model", Count: 1},
		Plain:   ServiceGroup{Service: "plain", Count: 1},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	engine, plain := cluster.Endpoints().Targets[0], cluster.Endpoints().Targets[1]
	chat := `{"messages":[{"role":"user","content":"tokens=999999"}]}`
	for url, stop := range map[string]struct {
		id      string
		entries func() []wire.LedgerEntry
	}{
		engine.Address + wire.ChatRoute:      {engine.ID, cluster.Engines[engine.ID].Ledger().Entries},
		plain.Address + "/x?delay_ms=999999": {plain.ID, cluster.Services[plain.ID].Ledger().Entries},
	} {
		complete := make(chan bool)
		go func() { complete <- postSucceeds(url, chat) }()
		for len(stop.entries()) == 0 {
			runtime.Gosched()
		}
		cluster.StopTarget(stop.id)
		if <-complete {
			t.Errorf("%s: a stopped target sent a complete response", stop.id)
		}
	}
}

// postSucceeds reports whether a POST received a complete response.
func postSucceeds(url, body string) bool {
	response, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil
}

func healthy(target wire.Member) bool {
	response, err := http.Get(target.Address + wire.HealthRoute)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
