package load

import (
	"reflect"
	"testing"
	"time"
)

func TestGenerateIsDeterministic(t *testing.T) {
	const duration = 20 * time.Second
	first := Generate(DefaultClasses(3), duration, 7)
	if again := Generate(DefaultClasses(3), duration, 7); !reflect.DeepEqual(first, again) {
		t.Error("the same seed gave other programs")
	}
	if other := Generate(DefaultClasses(3), duration, 8); reflect.DeepEqual(first, other) {
		t.Error("another seed gave the same programs")
	}
}

func TestGenerateKeepsBounds(t *testing.T) {
	const duration = time.Minute
	classes := DefaultClasses(5)
	last := time.Duration(0)
	kinds := make(map[StepKind]int)
	programs := Generate(classes, duration, 1)
	for _, p := range programs {
		if p.Arrival < last || p.Arrival >= duration {
			t.Fatalf("arrival %s after %s", p.Arrival, last)
		}
		last = p.Arrival
		chats := 0
		for _, step := range p.Steps {
			kinds[step.Kind]++
			if step.Kind == StepChat {
				chats++
			}
		}
		if chats < 1 || chats > classes[0].TurnsMax || p.Calls() < len(p.Steps) {
			t.Fatalf("%d chats, %d calls", chats, p.Calls())
		}
	}
	if kinds[StepChat] == 0 || kinds[StepTool] == 0 || kinds[StepFiling] == 0 {
		t.Errorf("kinds of steps: %v", kinds)
	}
	want := (classes[0].Rate + classes[1].Rate) * duration.Seconds()
	if got := float64(len(programs)); got < want*0.8 || got > want*1.2 {
		t.Errorf("%v programs, want about %v", got, want)
	}
}

func TestFillerHasLength(t *testing.T) {
	for _, tokens := range []int{0, 1, 7, 400} {
		if got := len(filler(tokens)); got != tokens*bytesPerToken {
			t.Errorf("%d tokens give %d bytes", tokens, got)
		}
	}
}
