package members

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/wire"
)

func TestListLags(t *testing.T) {
	now := time.Unix(1000, 0)
	list := New(Settings{Lag: 10 * time.Second, Now: func() time.Time { return now }})
	visible := func() wire.MemberList {
		t.Helper()
		got, err := list.Visible()
		if err != nil {
			t.Fatal(err)
		}
		return got
	}

	list.Put(wire.Member{ID: "b", State: wire.MemberStateLive})
	now = now.Add(5 * time.Second)
	list.Put(wire.Member{ID: "a", State: wire.MemberStateLive})
	list.SetLeaving("b")
	if got := visible(); len(got.Members) != 0 || got.Version != 0 {
		t.Errorf("before the lag passed: %+v", got)
	}
	now = now.Add(5 * time.Second)
	if got := visible(); len(got.Members) != 1 || got.Members[0].State != wire.MemberStateLive || got.Version != 1 {
		t.Errorf("list as of 10 s ago: %+v", got)
	}
	now = now.Add(5 * time.Second)
	if got := visible(); len(got.Members) != 2 || got.Members[0].ID != "a" || got.Members[1].State != wire.MemberStateLeaving {
		t.Errorf("after the lag passed: %+v", got)
	}
	list.Remove("b")
	if got := visible(); len(got.Members) != 2 {
		t.Errorf("removed too early: %+v", got)
	}
	list.SetFaults(wire.MemberFaults{})
	if got := visible(); len(got.Members) != 1 || got.Version != 4 {
		t.Errorf("without lag: %+v", got)
	}
	list.SetFaults(wire.MemberFaults{Down: true})
	if _, err := list.Visible(); !errors.Is(err, ErrDown) {
		t.Errorf("down: %v", err)
	}
}
