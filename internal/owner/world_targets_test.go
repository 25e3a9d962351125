package owner

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

func (w *world) startRun(n *node, c structs.StartRun) {
	life := n.life
	end := func(d time.Duration, e structs.RunEnded) {
		e.Run, e.Target = c.Run, c.Target.ID
		w.after(d, func() { w.deliverTo(n.id, life, e) })
	}
	late := w.now.After(c.NotAfter)
	if late && w.rng.Float64() < 0.5 {
		end(networkTime, structs.RunEnded{Failure: structs.RunNotSent})
		return
	}
	failure := structs.RunOK
	if w.behave != nil {
		failure = w.behave(c)
	}
	if failure == structs.RunNotSent {
		end(networkTime, structs.RunEnded{Failure: failure})
		return
	}
	cost := c.Call.PromptTokens + c.Call.MaxTokens/2
	w.sends = append(w.sends, send{at: w.now, run: c.Run, call: c.Call, late: late, cost: cost, fencing: c.Fencing})
	w.log("send %s of %s %d key %s by %s", c.Run, c.Call.Lane, c.Call.Number, c.Call.Key, n.id)
	if w.hang {
		return
	}
	text := "answer of " + string(c.Run)
	out := structs.Outcome{Text: text, Body: []byte(text), Status: 200, Usage: structs.Usage{
		PromptTokens: c.Call.PromptTokens, CompletionTokens: c.Call.MaxTokens / 2,
	}}
	w.after(w.runTime, func() { w.outcomes[string(c.Call.Program)+"/"+c.Call.Key] = out })
	if c.Call.Stream {
		w.stream(n, c.Run, text, 0, failure)
	}
	if failure != structs.RunOK {
		end(w.runTime, structs.RunEnded{Failure: failure})
		return
	}
	end(w.runTime+networkTime, structs.RunEnded{Outcome: out, Took: w.runTime})
}

// stream sends the words of a text as pieces; a broken stream stops halfway.
func (w *world) stream(n *node, run structs.RunID, text string, from int, failure structs.RunFailure) {
	life := n.life
	words := strings.SplitAfter(text, " ")
	if failure != structs.RunOK {
		words = words[:len(words)/2]
	}
	for i := from; i < len(words); i++ {
		w.after(w.runTime*time.Duration(i+1-from)/time.Duration(len(words)+1), func() {
			w.deliverTo(n.id, life, structs.RunChunk{Run: run, Chunk: structs.Chunk{First: i, Texts: words[i : i+1]}})
		})
	}
}

func (w *world) resumeRun(n *node, c structs.ResumeRun) {
	life := n.life
	if !slices.ContainsFunc(w.sends, func(s send) bool { return s.run == c.Run }) {
		w.after(networkTime, func() {
			w.deliverTo(n.id, life, structs.RunEnded{Run: c.Run, Target: c.Target.ID, Failure: structs.RunBroken})
		})
		return
	}
	text := "answer of " + string(c.Run)
	w.stream(n, c.Run, text, c.From, structs.RunOK)
	w.after(w.runTime+networkTime, func() {
		words := strings.SplitAfter(text, " ")
		out := structs.Outcome{Text: strings.Join(words[min(c.From, len(words)):], "")}
		w.deliverTo(n.id, life, structs.RunEnded{Run: c.Run, Target: c.Target.ID, Outcome: out})
	})
}

func (w *world) dispatch(from structs.InstanceID, msg structs.Message) {
	switch m := msg.(type) {
	case *structs.PermitRequest:
		w.reply(testDisp, from, &structs.PermitQueued{Ref: m.Ref})
		if m.Running != "" || w.noGrant {
			return
		}
		if w.refuse != nil {
			if reason := w.refuse(m); reason != "" {
				w.reply(testDisp, from, &structs.PermitRefuse{Pool: m.Pool, Ref: m.Ref, Reason: reason})
				return
			}
		}
		target, ok := w.grants[m.Ref.Run]
		if !ok {
			target = structs.TargetID(fmt.Sprintf("%s-%d", m.Pool.Service, 1+len(w.grants)%2))
			w.grants[m.Ref.Run] = target
		}
		w.reply(testDisp, from, &structs.PermitGrant{Pool: m.Pool, Ref: m.Ref, Target: structs.Target{ID: target, Service: m.Pool.Service}})
	case *structs.PermitFinish:
		w.finishes[m.Ref.Run]++
		delete(w.grants, m.Ref.Run)
	case *structs.ProgramEnded:
		w.gone = append(w.gone, *m)
	}
}
