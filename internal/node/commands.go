package node

import (
	"github.com/banyanglade/banyanglade/internal/structs"
)

// execute passes a command of the core to its adapter. It runs on the loop and does
// not block.
func (n *node) execute(cmd structs.Command) {
	a := n.adapters
	switch cmd := cmd.(type) {
	case structs.ReplyChunk, structs.ReplyOutcome, structs.ReplyProgram,
		structs.ReplyPrograms, structs.ReplySettings, structs.ReplyApplied:
		n.gauges.countOutcome(cmd)
		a.http.Deliver(cmd)
	case structs.SendPeer:
		a.peers.Send(cmd.To, cmd.Msg)
	case structs.ProbePeer:
		a.peers.Probe(cmd.To)
	case structs.WatchPeers:
		a.peers.Watch(cmd.Peers)
	case structs.LogAppend:
		a.log.Append(cmd)
	case structs.LogTail:
		a.log.Tail(cmd)
	case structs.LogTailEnd:
		a.log.TailEnd(cmd)
	case structs.LogStop:
		a.log.Stop(cmd)
	default:
		n.executeTarget(cmd)
	}
}

// executeTarget handles the commands for targets, logging and the lifecycle of the
// instance.
func (n *node) executeTarget(cmd structs.Command) {
	targets := n.adapters.targets
	switch cmd := cmd.(type) {
	case structs.Note:
		logNote(n.log, cmd)
	case structs.StartRun:
		logRun(n.log, cmd)
		targets.StartRun(cmd)
	case structs.ResumeRun:
		targets.ResumeRun(cmd)
	case structs.CancelRun:
		targets.CancelRun(cmd)
	case structs.QueryOutcome:
		targets.QueryOutcome(cmd)
	case structs.WatchTargets:
		targets.WatchTargets(cmd)
	case structs.ReleaseCache:
		targets.ReleaseCache(cmd)
	case structs.ReadOrders:
		targets.ReadOrders(cmd)
	case structs.SendOrder:
		targets.SendOrder(cmd)
	case structs.Ready:
		n.log.Info("readiness", "ready", cmd.Ready, "reason", cmd.Reason)
		n.shared.setReady(cmd)
	case structs.DrainDone:
		close(n.drained)
	default:
		panic("invariant violated: no adapter for the command")
	}
}
