package instance

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

func (n *node) pollMembers() {
	c := n.cluster
	if n.dead || c.nodes[n.id] != n {
		return
	}
	c.version++
	list := wire.MemberList{Version: c.version}
	for _, id := range c.ids {
		list.Members = append(list.Members, wire.Member{ID: string(id), Role: wire.MemberRoleInstance, State: wire.MemberStateLive, Region: string(c.regionOf(id))})
	}
	for _, service := range []string{chatService, filingService} {
		for i := range 2 {
			list.Members = append(list.Members, wire.Member{
				ID: fmt.Sprintf("%s-%d-%s", service, i, c.regionOf(n.id)), Role: wire.MemberRoleTarget, State: wire.MemberStateLive,
				Region: string(c.regionOf(n.id)), Service: service,
			})
		}
	}
	n.deliver(structs.MembersListed{List: list})
	c.after(pollInterval, n.pollMembers)
}

// startRun simulates the target adapter and the target: it sends the call unless
// its NotAfter has passed, and responds.
func (c *cluster) startRun(n *node, cmd structs.StartRun) {
	end := structs.RunEnded{Run: cmd.Run, Target: cmd.Target.ID, Took: 5 * time.Millisecond}
	if n.dead {
		return
	}
	if n.paused || (!cmd.NotAfter.IsZero() && c.now.After(cmd.NotAfter)) {
		end.Failure = structs.RunNotSent
		n.deliver(end)
		return
	}
	c.sends = append(c.sends, targetSend{at: c.now, call: cmd.Call, run: cmd.Run})
	c.logf("send %s %s from %s", cmd.Call.Program, cmd.Call.Key, n.id)
	end.Outcome = structs.Outcome{Kind: structs.OutcomeAnswered, Status: 200, Text: responseTo(cmd.Call)}
	if cmd.Call.Kind == structs.CallPlain {
		end.Outcome.Body, end.Outcome.Text = []byte(responseTo(cmd.Call)), ""
	}
	c.after(5*time.Millisecond+c.randomDelay(400*time.Millisecond), func() { n.deliver(end) })
}

func responseTo(call *structs.Call) string {
	return fmt.Sprintf("%s/%s/%x", call.Program, call.Key, call.Digest[:4])
}

// configure publishes the services through the first instance.
func (c *cluster) configure() {
	values := map[string]any{
		"services/model/kind": "engine", "services/filing/kind": "plain", "services/filing/timeout": "1s",
		"teams/harbour/idempotency_window": "1h",
	}
	var changes []structs.SettingChange
	for _, path := range slices.Sorted(mapKeys(values)) {
		value, _ := json.Marshal(values[path])
		changes = append(changes, structs.SettingChange{Path: path, Value: value, ChangeID: "change-" + path, Author: "test"})
	}
	c.nodes[c.ids[0]].deliver(structs.SettingsPropose{Request: "configure", Changes: changes, Deadline: c.now.Add(time.Minute)})
	c.runFor(2 * time.Second)
	for _, id := range c.ids {
		if _, ok := c.nodes[id].core.Tree().Service(chatService); !ok {
			c.t.Fatalf("%s has not applied the services", id)
		}
	}
}

func mapKeys(m map[string]any) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}
