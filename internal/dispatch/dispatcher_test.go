package dispatch

import (
	"testing"

	"github.com/banyanglade/banyanglade/internal/structs"
)

func TestGrantsAsSlotsGetFree(t *testing.T) {
	f := newFixture(t, 1, 1)
	first, second := request("1"), request("2")
	granted := grants(f.send(first, second))
	if len(granted) != 1 || granted["1"] != "t0" {
		t.Fatalf("granted %v, want run 1 at t0", granted)
	}
	granted = grants(f.send(finish(first, "t0")))
	if len(granted) != 1 || granted["2"] != "t0" {
		t.Fatalf("granted %v, want run 2 at t0", granted)
	}
}

func TestDuplicateRequestIsIdempotent(t *testing.T) {
	f := newFixture(t, 1, 1)
	m := request("1")
	f.send(m)
	granted := grants(f.send(m))
	if granted["1"] != "t0" {
		t.Fatalf("duplicate of a granted request: %v, want the same grant again", granted)
	}
	f.send(finish(m, "t0"))
	if granted := grants(f.send(m)); len(granted) != 0 {
		t.Fatalf("duplicate of an ended request was granted: %v", granted)
	}
}

func TestNoWorkToLeavingTarget(t *testing.T) {
	f := newFixture(t, 2, 1)
	f.send(request("1"))
	f.members.targets[1].Leaving = true
	f.tick(structs.MembersListed{})
	if granted := grants(f.send(request("2"))); len(granted) != 0 {
		t.Fatalf("granted %v while the free target leaves", granted)
	}
}
