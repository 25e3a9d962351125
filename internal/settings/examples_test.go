package settings

import (
	"os"
	"testing"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// loadExample validates the settings file of an example and applies it to a tree.
func loadExample(t *testing.T, name string) *Tree {
	t.Helper()
	data, err := os.ReadFile("../../examples/" + name + "/settings.yaml")
	if err != nil {
		t.Fatal(err)
	}
	changes, errs := ParseFile(data)
	for _, err := range errs {
		t.Error(err)
	}
	tree := NewTree()
	list := make([]recordChange, len(changes))
	for i := range changes {
		changes[i].ChangeID = "example"
		list[i] = recordChange{Path: changes[i].Path, Value: changes[i].Value, ChangeID: "example"}
	}
	for _, err := range tree.Validate(changes) {
		t.Error(err)
	}
	tree.Apply(0, encode(t, record{Changes: list}))
	if outcome, _ := tree.Outcome("example"); !outcome.Accepted {
		t.Fatalf("not accepted: %+v", outcome)
	}
	return tree
}

func TestLakeshoreExample(t *testing.T) {
	tree := loadExample(t, "lakeshore")
	clearance, status := tree.Policy("lakeshore/clearance"), tree.Policy("lakeshore/status")
	if clearance.Priority >= status.Priority || clearance.Deadline >= status.Deadline {
		t.Errorf("clearance %+v, status %+v", clearance, status)
	}
	if filing := tree.Policy("lakeshore/filing"); filing.ProgramFees == 0 || filing.TeamFees == 0 {
		t.Errorf("filing has no budget: %+v", filing)
	}
	agents, _ := tree.Service("mark-agents")
	desk, _ := tree.Service("filing-desk")
	if agents.Kind != structs.ServiceEngine || !desk.NotRepeatable {
		t.Errorf("mark-agents %+v, filing-desk %+v", agents, desk)
	}
}

func TestPartvedoExample(t *testing.T) {
	tree := loadExample(t, "partvedo")
	crews, engineers := tree.Policy("partvedo/crews"), tree.Policy("partvedo/engineers")
	if crews.Priority >= engineers.Priority || crews.Deadline >= engineers.Deadline || crews.TeamTokens == 0 {
		t.Errorf("crews %+v, engineers %+v", crews, engineers)
	}
	models, _ := tree.Service("agent-models")
	app, _ := tree.Service("field-app")
	if models.Rules.Retention != "worth" || !models.Rules.ReleaseGone || !app.NotRepeatable {
		t.Errorf("agent-models %+v, field-app %+v", models, app)
	}
}
