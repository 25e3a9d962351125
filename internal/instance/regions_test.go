package instance

import (
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

const otherRegion = structs.Region("coast")

// newTwoRegionCluster returns a cluster with two instances in each of two
// regions.
func newTwoRegionCluster(t *testing.T) *cluster {
	return newClusterInRegions(t, 1, 4, map[structs.InstanceID]structs.Region{"i3": otherRegion, "i4": otherRegion})
}

// openAt opens a program of a region at an instance.
func (c *cluster) openAt(id structs.InstanceID, region structs.Region, n byte) structs.ProgramID {
	program := structs.NewProgramID(region, c.now, [10]byte{n})
	out := c.requestAt(id, func(request structs.RequestID) structs.Event {
		return structs.CallerProgram{Request: request, Op: structs.ProgramOpen, Program: program, Team: testTeam, Deadline: c.now.Add(5 * time.Second)}
	})
	if out.Kind != structs.OutcomeAnswered {
		c.t.Fatalf("open: %+v", out)
	}
	return program
}

// requestAt posts a request at an instance and runs the cluster until the
// outcome.
func (c *cluster) requestAt(id structs.InstanceID, post func(structs.RequestID) structs.Event) structs.Outcome {
	c.sequence++
	request := structs.RequestID(string(id) + "/" + c.now.Format(time.RFC3339Nano))
	var outcome *structs.Outcome
	c.replies[request] = func(out structs.Outcome) { outcome = &out }
	c.nodes[id].deliver(post(request))
	for range 200 {
		if outcome != nil {
			return *outcome
		}
		c.runFor(100 * time.Millisecond)
	}
	c.t.Fatalf("no response from %s", id)
	return structs.Outcome{}
}

func (c *cluster) chatAt(id structs.InstanceID, program structs.ProgramID, number uint64) structs.Outcome {
	a := &agent{cluster: c, program: program, number: number}
	call := a.currentCall()
	call.History = nil
	return c.requestAt(id, func(request structs.RequestID) structs.Event {
		return structs.CallerSubmit{Request: request, Call: call, Deadline: c.now.Add(6 * time.Second)}
	})
}

func TestCallIsForwardedToOwnerInOtherRegion(t *testing.T) {
	c := newTwoRegionCluster(t)
	program := c.openAt("i3", testRegion, 1)
	if out := c.chatAt("i4", program, 1); out.Kind != structs.OutcomeAnswered {
		t.Fatalf("outcome %+v", out)
	}
}

// During a partition each region serves its own programs and rejects calls of
// the other region's programs with a RetryAfter delay.
func TestPartitionedRegionsKeepServing(t *testing.T) {
	c := newTwoRegionCluster(t)
	near, far := c.openAt("i1", testRegion, 1), c.openAt("i3", otherRegion, 2)
	for _, a := range []structs.InstanceID{"i1", "i2"} {
		for _, b := range []structs.InstanceID{"i3", "i4"} {
			c.cutLinks[[2]structs.InstanceID{a, b}] = true
			c.cutLinks[[2]structs.InstanceID{b, a}] = true
		}
	}
	c.runFor(2 * time.Second)
	if out := c.chatAt("i2", near, 1); out.Kind != structs.OutcomeAnswered {
		t.Fatalf("near: %+v", out)
	}
	if out := c.chatAt("i4", far, 1); out.Kind != structs.OutcomeAnswered {
		t.Fatalf("far: %+v", out)
	}
	out := c.chatAt("i3", near, 2)
	if out.Kind == structs.OutcomeAnswered || out.RetryAfter == 0 {
		t.Fatalf("during the partition: %+v", out)
	}
	c.cutLinks = map[[2]structs.InstanceID]bool{}
	c.runFor(5 * time.Second)
	if out := c.chatAt("i3", near, 2); out.Kind != structs.OutcomeAnswered {
		t.Fatalf("after the partition: %+v", out)
	}
}
