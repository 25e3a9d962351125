package owner

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

func (cl *cluster) startRun(n *node, c structs.StartRun) {
	incarnation := n.incarnation
	end := func(d time.Duration, e structs.RunEnded) {
		e.Run, e.Target = c.Run, c.Target.ID
		cl.after(d, func() { cl.deliverTo(n.id, incarnation, e) })
	}
	overdue := cl.now.After(c.NotAfter)
	if overdue && cl.rng.Float64() < 0.5 {
		end(networkTime, structs.RunEnded{Failure: structs.RunNotSent})
		return
	}
	failure := structs.RunOK
	if cl.runResult != nil {
		failure = cl.runResult(c)
	}
	if failure == structs.RunNotSent {
		end(networkTime, structs.RunEnded{Failure: failure})
		return
	}
	cost := c.Call.PromptTokens + c.Call.MaxTokens/2
	cl.sends = append(cl.sends, targetSend{at: cl.now, run: c.Run, call: c.Call, overdue: overdue, cost: cost, fencing: c.Fencing})
	cl.tracef("send %s of %s %d key %s by %s", c.Run, c.Call.Lane, c.Call.Number, c.Call.Key, n.id)
	if cl.hangRuns {
		return
	}
	text := "answer of " + string(c.Run)
	out := structs.Outcome{Text: text, Body: []byte(text), Status: 200, Usage: structs.Usage{
		PromptTokens: c.Call.PromptTokens, CompletionTokens: c.Call.MaxTokens / 2,
	}}
	cl.after(cl.runTime, func() { cl.outcomes[string(c.Call.Program)+"/"+c.Call.Key] = out })
	if c.Call.Stream {
		cl.stream(n, c.Run, text, 0, failure)
	}
	if failure != structs.RunOK {
		end(cl.runTime, structs.RunEnded{Failure: failure})
		return
	}
	end(cl.runTime+networkTime, structs.RunEnded{Outcome: out, Took: cl.runTime})
}

// stream sends the words of a text as pieces. A broken stream stops halfway.
func (cl *cluster) stream(n *node, run structs.RunID, text string, from int, failure structs.RunFailure) {
	incarnation := n.incarnation
	words := strings.SplitAfter(text, " ")
	if failure != structs.RunOK {
		words = words[:len(words)/2]
	}
	for i := from; i < len(words); i++ {
		cl.after(cl.runTime*time.Duration(i+1-from)/time.Duration(len(words)+1), func() {
			cl.deliverTo(n.id, incarnation, structs.RunChunk{Run: run, Chunk: structs.Chunk{First: i, Texts: words[i : i+1]}})
		})
	}
}

func (cl *cluster) resumeRun(n *node, c structs.ResumeRun) {
	incarnation := n.incarnation
	if !slices.ContainsFunc(cl.sends, func(s targetSend) bool { return s.run == c.Run }) {
		cl.after(networkTime, func() {
			cl.deliverTo(n.id, incarnation, structs.RunEnded{Run: c.Run, Target: c.Target.ID, Failure: structs.RunBroken})
		})
		return
	}
	text := "answer of " + string(c.Run)
	cl.stream(n, c.Run, text, c.From, structs.RunOK)
	cl.after(cl.runTime+networkTime, func() {
		words := strings.SplitAfter(text, " ")
		out := structs.Outcome{Text: strings.Join(words[min(c.From, len(words)):], "")}
		cl.deliverTo(n.id, incarnation, structs.RunEnded{Run: c.Run, Target: c.Target.ID, Outcome: out})
	})
}

func (cl *cluster) dispatch(from structs.InstanceID, msg structs.Message) {
	switch m := msg.(type) {
	case *structs.PermitRequest:
		cl.sendMessage(testDispatcher, from, &structs.PermitQueued{Ref: m.Ref})
		if m.Running != "" || cl.withholdGrants {
			return
		}
		if cl.refusePermit != nil {
			if reason := cl.refusePermit(m); reason != "" {
				cl.sendMessage(testDispatcher, from, &structs.PermitRefuse{Pool: m.Pool, Ref: m.Ref, Reason: reason})
				return
			}
		}
		target, ok := cl.grants[m.Ref.Run]
		if !ok {
			target = structs.TargetID(fmt.Sprintf("%s-%d", m.Pool.Service, 1+len(cl.grants)%2))
			cl.grants[m.Ref.Run] = target
		}
		cl.sendMessage(testDispatcher, from, &structs.PermitGrant{Pool: m.Pool, Ref: m.Ref, Target: structs.Target{ID: target, Service: m.Pool.Service}})
	case *structs.PermitFinish:
		cl.finishes[m.Ref.Run]++
		delete(cl.grants, m.Ref.Run)
	case *structs.ProgramEnded:
		cl.endedMessages = append(cl.endedMessages, *m)
	}
}
