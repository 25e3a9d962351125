package relay

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/feed"
	"github.com/banyanglade/banyanglade/platform"
)

const (
	// fleetDataCentres is the number of data centres of a large deployment.
	fleetDataCentres = 5
	// startBound is the time in which all know all after a start of all.
	startBound = 10 * time.Second
	// startCalls is the number of calls to the store that a start of all may take, an
	// instance.
	startCalls = 16
	// manyTargets fill some pages of the store.
	manyTargets = 3 * storePage
)

// All know all within ten seconds of a start of all, with a bounded number of calls
// an instance, whatever the number of instances: a start that asks more than the
// store gives fails, asks again and never ends.
func TestStartOfAllStaysWithinWhatTheStoreGives(t *testing.T) {
	faults := map[string]storeFault{
		"sound":         {},
		"away for 5 s":  {away: 5 * time.Second},
		"60 times slow": {slow: 59 * storeAnswerTime},
		"refuses third": {refused: 1.0 / 3},
	}
	for name, fault := range faults {
		for _, instances := range []int{1000, 2000} {
			t.Run(fmt.Sprint(name, "/", instances), func(t *testing.T) {
				t.Parallel()
				inFleet(t, fleetDataCentres, fault, func(f *fleet) {
					for i := range manyTargets {
						f.store.put(targetsTopic, fmt.Sprint("t", i), "x")
					}
					for i := range instances {
						f.start(i)
					}
					took := f.until(startBound)
					calls := float64(f.store.counted()) / float64(instances)
					t.Logf("%s, %.1f calls an instance, %d relays", took, calls, len(f.relays()))
					if calls > startCalls {
						t.Errorf("%.1f calls an instance", calls)
					}
					if relays := len(f.relays()); relays > fleetDataCentres*SlotsPerDataCentre {
						t.Errorf("%d relays", relays)
					}
				})
			})
		}
	}
}

// Instances that the store refuses learn of the relays although it refuses all seeds.
func TestRefusedInstancesFindTheRelaysThroughRefusedSeeds(t *testing.T) {
	inFleet(t, 2, storeFault{}, func(f *fleet) {
		for i := range 60 {
			f.startRefused(i, i < len(f.seeds) || i%3 == 0)
		}
		f.until(startBound)
	})
}

// What idle instances ask of the store does not grow with their number.
func TestReadsOfTheStoreDoNotFollowTheInstances(t *testing.T) {
	rates := make(map[int]int)
	for _, instances := range []int{300, 1000} {
		inFleet(t, fleetDataCentres, storeFault{}, func(f *fleet) {
			for i := range instances {
				f.start(i)
			}
			f.until(startBound)
			time.Sleep(2 * time.Second)
			before := f.store.counted()
			time.Sleep(10 * time.Second)
			rates[instances] = f.store.counted() - before
		})
	}
	if float64(rates[1000]) > 1.2*float64(rates[300]) {
		t.Errorf("calls in 10 s by instances: %v", rates)
	}
}

// Where a data centre has no more instances than slots each reads for itself.
func TestSmallDeploymentsHaveRelaysOnly(t *testing.T) {
	inFleet(t, 3, storeFault{}, func(f *fleet) {
		for i := range 12 {
			f.start(i)
		}
		f.until(startBound)
		time.Sleep(5 * time.Second)
		if got := len(f.relays()); got != 12 {
			t.Errorf("%d relays", got)
		}
	})
}

// A change reaches all soon, also while relays are lost, and their slots are taken.
func TestChangesReachAllWhileRelaysAreLost(t *testing.T) {
	inFleet(t, 2, storeFault{}, func(f *fleet) {
		for i := range 60 {
			f.start(i)
		}
		f.until(startBound)
		time.Sleep(time.Second)
		lost := f.relays()
		if len(lost) != 2*SlotsPerDataCentre {
			t.Fatalf("relays %v", lost)
		}
		for _, i := range lost[:len(lost)-1] {
			f.kill(i)
		}
		f.store.put(settingsTopic, "settings", "v2")
		if took := f.until(2 * time.Second); took > 2*time.Second {
			t.Errorf("known to all after %s", took)
		}
		time.Sleep(takeoverAfter + takeoverSpans*claimSpan*10 + time.Second)
		if got := len(f.relays()); got != 2*SlotsPerDataCentre {
			t.Errorf("%d relays after others took over", got)
		}
	})
}

// Instances know of a change within the bound although their relay, or the store for
// their relay, has fallen silent right before it.
func TestChangesAreKnownWithinTheBoundWhileARelayIsSilent(t *testing.T) {
	for name, silence := range map[string]func(n *testNode){
		"relay frozen":          func(n *testNode) { n.frozen.Store(true) },
		"store silent to relay": func(n *testNode) { n.storeSilent.Store(true) },
		"relay frozen, store silent to all": func(n *testNode) {
			n.frozen.Store(true)
			for _, other := range n.fleet.nodes {
				other.storeSilent.Store(!other.Reading())
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			inFleet(t, 1, storeFault{}, func(f *fleet) {
				f.store.put(targetsTopic, "t", "x")
				for i := range 40 {
					f.start(i)
				}
				f.until(startBound)
				time.Sleep(3 * time.Second)
				for round := range 5 {
					silent := f.nodes[address(f.relays()[round%SlotsPerDataCentre])]
					silence(silent)
					time.Sleep(time.Duration(round) * 900 * time.Millisecond)
					f.store.put(targetsTopic, "t", fmt.Sprint("draining", round))
					if took := f.untilBut(silent, testBound); took >= testBound {
						t.Errorf("round %d: known after %s", round, took)
					}
					silent.frozen.Store(false)
					for _, n := range f.nodes {
						n.storeSilent.Store(false)
					}
					time.Sleep(10 * time.Second)
				}
			})
		})
	}
}

// Where the store drops its history not every relay reads the whole list again.
func TestDroppedHistoryIsReadOnceADataCentre(t *testing.T) {
	inFleet(t, fleetDataCentres, storeFault{}, func(f *fleet) {
		for i := range 100 {
			f.start(i)
		}
		f.until(startBound)
		time.Sleep(2 * time.Second)
		before := f.store.readWhole(targetsTopic)
		for range 4 {
			for i := range 10 {
				f.store.put(targetsTopic, fmt.Sprint("t", i), "x")
			}
			f.store.trim(targetsTopic)
			time.Sleep(3 * time.Second)
		}
		f.until(startBound)
		if reads := f.store.readWhole(targetsTopic) - before; reads > 4*2*fleetDataCentres {
			t.Errorf("%d whole reads after 4 trims by %d relays", reads, fleetDataCentres*SlotsPerDataCentre)
		}
	})
}

// A process that starts again on the machine of a slot's holder goes on in the slot.
func TestRestartedRelayGoesOn(t *testing.T) {
	inFleet(t, 1, storeFault{}, func(f *fleet) {
		for i := range 20 {
			f.start(i)
		}
		f.until(startBound)
		time.Sleep(time.Second)
		relays := f.relays()
		f.kill(relays[0])
		f.start(relays[0])
		f.until(startBound)
		if got := f.relays(); fmt.Sprint(got) != fmt.Sprint(relays) {
			t.Errorf("relays %v, before %v", got, relays)
		}
	})
}

// That the store refuses a relay alone is no outage for those who ask it: a target whose
// registration goes then is gone, and not kept for its return.
func TestRefusalOfARelayIsNoOutageForItsFollowers(t *testing.T) {
	topic := feed.NewTopic(targetsTopic, func(platform.Record) {})
	health := feed.NewHealth()
	n := New(Config{
		Health: health, MaxStaleness: testBound, WritesToStore: func() bool { return false },
		Topics: []FollowedTopic{{Topic: topic, Bounded: true}}, Log: slog.New(slog.DiscardHandler),
	})
	given := func(failing bool, age time.Duration) {
		n.hear(topic, Given{Copy: feed.Copy{Whole: true, AgeMs: age.Milliseconds()}, Failing: failing})
	}
	given(true, testBound/4)
	given(false, testBound/4)
	if back, ok := health.RecoveredAt(targetsTopic); !ok || !back.IsZero() {
		t.Errorf("an outage ended at %s", back)
	}
	given(true, testBound)
	if _, ok := health.RecoveredAt(targetsTopic); ok {
		t.Error("no outage although nobody knows anything new")
	}
	given(false, testBound/4)
	if back, ok := health.RecoveredAt(targetsTopic); !ok || time.Since(back) > time.Minute {
		t.Errorf("the outage ended at %s", back)
	}
}

// What no instance can have written names no holder, and leaves the slot free.
func TestSlotOfAnotherWriterNamesNobody(t *testing.T) {
	self := Holder{Machine: "m", Address: "10.0.0.1:80", DataCentre: "dc"}
	n := New(Config{Self: self, Log: slog.New(slog.DiscardHandler)})
	good := `{"machine":"o","address":"10.0.0.2:80","data_centre":"dc"}`
	n.applySlot(platform.Record{Key: "dc/0", Value: []byte(good)})
	if key, _ := n.table.free(self); key != "dc/1" {
		t.Errorf("free slot %q beside one that is held", key)
	}
	for _, value := range []string{
		"\xff", "null", "[]", "{}", good[:20], strings.Replace(good, "dc", "other", 1),
		strings.Replace(good, `"o"`, `""`, 1), strings.Replace(good, "10.0.0.2:80", "somewhere", 1),
	} {
		n.applySlot(platform.Record{Key: "dc/0", Value: []byte(value)})
		if key, _ := n.table.free(self); key != "dc/0" {
			t.Errorf("after %s: free slot %q", value, key)
		}
	}
}

func FuzzDecodeEntry(f *testing.F) {
	f.Add("dc/0", []byte(`{"machine":"m","address":"10.0.0.1:80","data_centre":"dc"}`))
	f.Add("/", []byte(`{"machine":"m","address":"[::1]:1"}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		e, err := decodeEntry(platform.Record{Key: key, Value: value})
		if err == nil && (e.Machine == "" || !strings.HasPrefix(key, e.DataCentre)) {
			t.Fatalf("got %+v for %q", e, key)
		}
	})
}

// Instances spread evenly over the relays of their data centre, and ask those of
// others only behind them.
func TestInstancesSpreadOverTheirRelays(t *testing.T) {
	slots := make(table)
	for _, dc := range []string{"a", "b"} {
		for i := range SlotsPerDataCentre {
			slots[slot(dc, i)] = Holder{Machine: fmt.Sprint(dc, i), Address: "10.0.0.1:80", DataCentre: dc}
		}
	}
	first := make(map[string]int)
	const instances = 1000
	for i := range instances {
		sources := slots.sources(Holder{Machine: fmt.Sprint("m", i), DataCentre: "a"})
		first[sources[0].Machine]++
		for at, e := range sources {
			if (e.DataCentre == "a") != (at < SlotsPerDataCentre) {
				t.Fatalf("order %v", sources)
			}
		}
	}
	for machine, n := range first {
		if n > instances*3/2/SlotsPerDataCentre {
			t.Errorf("%s is the first of %d of %d", machine, n, instances)
		}
	}
}
