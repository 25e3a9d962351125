package instance

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// inputs holds the events of one round by component, and the commands that
// routing itself produced.
type inputs struct {
	view     []structs.Event
	settings []structs.Event
	gateway  []structs.Event
	owner    []structs.Event
	dispatch []structs.Event
	orders   []structs.Event
	commands []structs.Command
}

func (in *inputs) broadcast(ev structs.Event) {
	in.view = append(in.view, ev)
	in.settings = append(in.settings, ev)
	in.gateway = append(in.gateway, ev)
	in.owner = append(in.owner, ev)
	in.dispatch = append(in.dispatch, ev)
	in.orders = append(in.orders, ev)
}

// route assigns the events to the components.
func (i *Instance) route(now time.Time, events []structs.Event) inputs {
	var in inputs
	for _, ev := range events {
		i.routeEvent(now, &in, ev)
	}
	return in
}

func (i *Instance) routeEvent(now time.Time, in *inputs, ev structs.Event) {
	switch ev := ev.(type) {
	case structs.CallerSubmit, structs.CallerProgram:
		i.admit(now, in, ev)
	case structs.CallerPrograms, structs.SettingsApplied, structs.CallerDisconnected:
		in.gateway = append(in.gateway, ev)
	case structs.SettingsPropose:
		in.settings = append(in.settings, ev)
	case structs.DrainStart:
		i.startDrain(now, in, ev)
	case structs.PeerDown:
		i.pendingReplies.removePeer(ev.Peer)
		in.broadcast(ev)
	case structs.PeerUp, structs.MembersListed:
		in.broadcast(ev)
	case structs.PeerMessage:
		i.routeMessage(in, ev)
	case structs.LogAppended:
		in.routeLogEvent(ev.Stream, ev)
	case structs.LogAppendFailed:
		in.routeLogEvent(ev.Stream, ev)
	case structs.LogRead:
		in.routeLogEvent(ev.Stream, ev)
	case structs.LogReadFailed:
		in.routeLogEvent(ev.Stream, ev)
	case structs.RunChunk, structs.RunEnded, structs.OutcomeQueried:
		in.owner = append(in.owner, ev)
	case structs.CacheReleased:
		in.owner = append(in.owner, ev)
		in.dispatch = append(in.dispatch, ev)
	case structs.OrderSent, structs.OrdersRead:
		in.orders = append(in.orders, ev)
	case structs.TargetLoad, structs.TargetUnreachable, structs.TargetCache:
		in.dispatch = append(in.dispatch, ev)
	}
}

func (in *inputs) routeLogEvent(stream string, ev structs.Event) {
	if stream == structs.SettingsStream {
		in.settings = append(in.settings, ev)
		return
	}
	if structs.IsPoolStream(stream) {
		in.orders = append(in.orders, ev)
		return
	}
	in.owner = append(in.owner, ev)
}

// routeMessage assigns a peer message to the component that handles it.
func (i *Instance) routeMessage(in *inputs, ev structs.PeerMessage) {
	i.pendingReplies.recordReceived(ev.From, ev.Msg)
	switch msg := ev.Msg.(type) {
	case *structs.Leaving:
		in.broadcast(ev)
	case *structs.SubmitAccepted, *structs.CallChunk, *structs.CallEnd, *structs.NotOwner,
		*structs.ProgramReply, *structs.ProgramsReply, *structs.AppliedReply:
		in.gateway = append(in.gateway, ev)
	case *structs.ProgramsRequest:
		reply := &structs.ProgramsReply{Request: msg.Request, Programs: i.owner.Programs(msg.Team, msg.Limit)}
		in.commands = append(in.commands, structs.SendPeer{To: ev.From, Msg: reply})
	case *structs.PermitRequest, *structs.PermitCancel, *structs.PermitFinish, *structs.ProgramEnded:
		in.dispatch = append(in.dispatch, ev)
	case *structs.SettingsRequest, *structs.SettingsState, *structs.AppliedRequest:
		in.settings = append(in.settings, ev)
	default:
		in.owner = append(in.owner, ev)
	}
}
