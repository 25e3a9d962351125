package instance

import (
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

const farRegion = structs.Region("coast")

// farWorld has two instances in one region and two in another.
func farWorld(t *testing.T) *world {
	return newWorldOf(t, 1, 4, map[structs.InstanceID]structs.Region{"i3": farRegion, "i4": farRegion})
}

// openAt opens a program of a region through an instance.
func (w *world) openAt(id structs.InstanceID, region structs.Region, n byte) structs.ProgramID {
	program := structs.NewProgramID(region, w.now, [10]byte{n})
	out := w.askAt(id, func(request structs.RequestID) structs.Event {
		return structs.CallerProgram{Request: request, Op: structs.ProgramOpen, Program: program, Team: testTeam, Deadline: w.now.Add(5 * time.Second)}
	})
	if out.Kind != structs.OutcomeAnswered {
		w.t.Fatalf("open: %+v", out)
	}
	return program
}

// askAt posts a request at an instance and runs the world until the answer.
func (w *world) askAt(id structs.InstanceID, post func(structs.RequestID) structs.Event) structs.Outcome {
	w.order++
	request := structs.RequestID(string(id) + "/" + w.now.Format(time.RFC3339Nano))
	var answer *structs.Outcome
	w.replies[request] = func(out structs.Outcome) { answer = &out }
	w.nodes[id].deliver(post(request))
	for range 200 {
		if answer != nil {
			return *answer
		}
		w.run(100 * time.Millisecond)
	}
	w.t.Fatalf("no answer of %s", id)
	return structs.Outcome{}
}

func (w *world) chatAt(id structs.InstanceID, program structs.ProgramID, number uint64) structs.Outcome {
	a := &agent{w: w, program: program, number: number}
	call := a.call()
	call.History = nil
	return w.askAt(id, func(request structs.RequestID) structs.Event {
		return structs.CallerSubmit{Request: request, Call: call, Deadline: w.now.Add(6 * time.Second)}
	})
}

func TestCallOfAnotherRegionGoesToItsOwner(t *testing.T) {
	w := farWorld(t)
	program := w.openAt("i3", testRegion, 1)
	if out := w.chatAt("i4", program, 1); out.Kind != structs.OutcomeAnswered {
		t.Fatalf("outcome %+v", out)
	}
}

// TestRegionsThatLoseEachOtherGoOn: each region serves its own programs; a call
// of the other region's is refused with a time to come back.
func TestRegionsThatLoseEachOtherGoOn(t *testing.T) {
	w := farWorld(t)
	near, far := w.openAt("i1", testRegion, 1), w.openAt("i3", farRegion, 2)
	for _, a := range []structs.InstanceID{"i1", "i2"} {
		for _, b := range []structs.InstanceID{"i3", "i4"} {
			w.cut[[2]structs.InstanceID{a, b}] = true
			w.cut[[2]structs.InstanceID{b, a}] = true
		}
	}
	w.run(2 * time.Second)
	if out := w.chatAt("i2", near, 1); out.Kind != structs.OutcomeAnswered {
		t.Fatalf("near: %+v", out)
	}
	if out := w.chatAt("i4", far, 1); out.Kind != structs.OutcomeAnswered {
		t.Fatalf("far: %+v", out)
	}
	out := w.chatAt("i3", near, 2)
	if out.Kind == structs.OutcomeAnswered || out.RetryAfter == 0 {
		t.Fatalf("across the cut: %+v", out)
	}
	w.cut = map[[2]structs.InstanceID]bool{}
	w.run(5 * time.Second)
	if out := w.chatAt("i3", near, 2); out.Kind != structs.OutcomeAnswered {
		t.Fatalf("after the cut: %+v", out)
	}
}
