package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

const testService = structs.ServiceName("engines")

var testPool = structs.PoolID{Service: testService, Region: "r"}

// fakeMembers is a membership with a modifiable list of targets.
type fakeMembers struct {
	structs.Members
	targets []structs.Target
}

func (m *fakeMembers) Targets(structs.ServiceName) []structs.Target { return m.targets }

func (m *fakeMembers) DispatcherOf(structs.PoolID) (structs.InstanceID, bool) { return "self", true }

// fakeSettings returns the same service and policy for every name.
type fakeSettings struct {
	structs.Settings
	service structs.Service
	policy  structs.Policy
}

func (s *fakeSettings) Service(structs.ServiceName) (structs.Service, bool) { return s.service, true }

func (s *fakeSettings) Policy(structs.Team) structs.Policy { return s.policy }

// fixture drives a dispatcher with messages and a manual clock.
type fixture struct {
	t        testing.TB
	now      time.Time
	members  *fakeMembers
	settings *fakeSettings
	d        *Dispatcher
	last     []structs.Command
}

func newFixture(t testing.TB, targets, slots int) *fixture {
	f := &fixture{t: t, now: time.Unix(1000, 0), members: &fakeMembers{}}
	for i := range targets {
		f.members.targets = append(f.members.targets, structs.Target{
			ID: structs.TargetID(fmt.Sprintf("t%d", i)), Service: testService, Region: "r",
		})
	}
	f.settings = &fakeSettings{
		service: structs.DefaultService(testService, structs.ServiceEngine),
		policy:  structs.DefaultPolicy(),
	}
	f.settings.service.Slots = slots
	f.restart()
	return f
}

func (f *fixture) restart() {
	config := structs.DefaultInstanceConfig(structs.Peer{ID: "self"}, "1")
	f.d = New(config, f.members, f.settings)
}

// send runs a tick with messages from owner "o".
func (f *fixture) send(messages ...structs.Message) []structs.Command {
	var events []structs.Event
	for _, m := range messages {
		events = append(events, structs.PeerMessage{From: "o", Msg: m})
	}
	return f.tick(events...)
}

func (f *fixture) tick(events ...structs.Event) []structs.Command {
	f.last = f.d.Tick(f.now, events)
	return f.last
}

func (f *fixture) tickAfter(wait time.Duration, events ...structs.Event) []structs.Command {
	f.now = f.now.Add(wait)
	return f.tick(events...)
}

// request returns a permit request whose program is named after the run.
func request(run string, modify ...func(*structs.PermitRequest)) *structs.PermitRequest {
	m := &structs.PermitRequest{
		Pool: testPool, Ref: structs.CallRef{Program: structs.ProgramID("p" + run), Run: structs.RunID(run)},
		Team: "a", Priority: 5, Weight: 1, Remaining: time.Minute,
	}
	for _, fn := range modify {
		fn(m)
	}
	return m
}

func finish(m *structs.PermitRequest, target structs.TargetID) *structs.PermitFinish {
	return &structs.PermitFinish{
		Pool: m.Pool, Ref: m.Ref, Target: target, Took: 100 * time.Millisecond, Pausing: true,
		Usage:       structs.Usage{PromptTokens: m.PromptTokens, CompletionTokens: 10},
		CacheTokens: m.PromptTokens + 10,
	}
}

// grants returns the target of each run that the commands grant.
func grants(commands []structs.Command) map[structs.RunID]structs.TargetID {
	granted := make(map[structs.RunID]structs.TargetID)
	for _, command := range commands {
		if send, ok := command.(structs.SendPeer); ok {
			if m, ok := send.Msg.(*structs.PermitGrant); ok {
				granted[m.Ref.Run] = m.Target.ID
			}
		}
	}
	return granted
}

func refusals(commands []structs.Command) map[structs.RunID]*structs.PermitRefuse {
	refused := make(map[structs.RunID]*structs.PermitRefuse)
	for _, command := range commands {
		if send, ok := command.(structs.SendPeer); ok {
			if m, ok := send.Msg.(*structs.PermitRefuse); ok {
				refused[m.Ref.Run] = m
			}
		}
	}
	return refused
}

func releases(commands []structs.Command) []structs.ReleaseCache {
	var released []structs.ReleaseCache
	for _, command := range commands {
		if r, ok := command.(structs.ReleaseCache); ok {
			released = append(released, r)
		}
	}
	return released
}
