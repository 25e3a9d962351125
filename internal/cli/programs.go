package cli

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"
)

const programsRoute = "/v1/programs"

// programView is a program in the responses of the API.
type programView struct {
	ID          string            `json:"id"`
	Team        string            `json:"team"`
	Owner       string            `json:"owner"`
	Shard       int               `json:"shard"`
	State       string            `json:"state"`
	Reason      string            `json:"reason"`
	Created     time.Time         `json:"created"`
	Updated     time.Time         `json:"updated"`
	Turns       int64             `json:"turns"`
	ServedMS    int64             `json:"served_ms"`
	TokensSpent int64             `json:"tokens_spent"`
	TokensHeld  int64             `json:"tokens_held"`
	TokenLimit  int64             `json:"token_limit"`
	FeesSpent   int64             `json:"fees_spent"`
	FeesHeld    int64             `json:"fees_held"`
	FeeLimit    int64             `json:"fee_limit"`
	Lanes       map[string]uint64 `json:"lanes"`
	Targets     []string          `json:"targets"`
}

// ProgramsList lists programs.
type ProgramsList struct {
	ClientOptions
	Team  string `arg:"--team" help:"team path; the team of the key if not given"`
	Limit int    `arg:"--limit" default:"100" help:"the most programs to list"`
}

func (c *ProgramsList) execute(ctx context.Context, p *Program) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	query := url.Values{"limit": {fmt.Sprint(c.Limit)}}
	if c.Team != "" {
		query.Set("team", c.Team)
	}
	resp, err := client.get(ctx, programsRoute, query)
	if err != nil {
		return err
	}
	if c.JSON {
		return p.printJSON(resp.body)
	}
	var list struct {
		Programs []programView `json:"programs"`
		Missing  []string      `json:"missing"`
	}
	if err := resp.decode(&list); err != nil {
		return err
	}
	var rows [][]string
	for _, v := range list.Programs {
		rows = append(rows, []string{v.ID, v.Team, v.State, v.Owner, fmt.Sprint(v.Turns),
			formatSpent(v.TokensSpent, v.TokensHeld, v.TokenLimit), formatSpent(v.FeesSpent, v.FeesHeld, v.FeeLimit), formatTime(v.Updated)})
	}
	if len(list.Missing) > 0 {
		fmt.Fprintf(p.Err, "warning: no answer from %s; its programs are not listed\n", sanitizeLine(strings.Join(list.Missing, ", ")))
	}
	return p.printTable([]string{"PROGRAM", "TEAM", "STATE", "INSTANCE", "TURNS", "TOKENS", "FEES", "UPDATED"}, rows)
}

// ProgramsShow shows one program.
type ProgramsShow struct {
	ClientOptions
	ID string `arg:"positional,required" help:"program id"`
}

func (c *ProgramsShow) execute(ctx context.Context, p *Program) error {
	return p.requestProgram(ctx, c.ClientOptions, http.MethodGet, c.ID)
}

// ProgramsCancel cancels one program.
type ProgramsCancel struct {
	ClientOptions
	ID string `arg:"positional,required" help:"program id"`
}

func (c *ProgramsCancel) execute(ctx context.Context, p *Program) error {
	return p.requestProgram(ctx, c.ClientOptions, http.MethodDelete, c.ID)
}

// requestProgram sends a request for one program and prints the program returned.
func (p *Program) requestProgram(ctx context.Context, options ClientOptions, method, id string) error {
	client, err := options.client()
	if err != nil {
		return err
	}
	resp, err := client.do(ctx, method, programsRoute+"/"+url.PathEscape(id), nil, nil)
	if err != nil {
		return err
	}
	if options.JSON {
		return p.printJSON(resp.body)
	}
	var v programView
	if err := resp.decode(&v); err != nil {
		return err
	}
	return p.printTable([]string{"FIELD", "VALUE"}, programRows(v))
}

func programRows(v programView) [][]string {
	state := v.State
	if v.Reason != "" {
		state += " (" + v.Reason + ")"
	}
	rows := [][]string{
		{"program", v.ID}, {"team", v.Team}, {"state", state},
		{"instance", fmt.Sprintf("%s, shard %d", v.Owner, v.Shard)},
		{"created", formatTime(v.Created)}, {"updated", formatTime(v.Updated)},
		{"turns", fmt.Sprint(v.Turns)}, {"served", (time.Duration(v.ServedMS) * time.Millisecond).String()},
		{"tokens", formatSpent(v.TokensSpent, v.TokensHeld, v.TokenLimit)},
		{"fees", formatSpent(v.FeesSpent, v.FeesHeld, v.FeeLimit)},
		{"lanes", fmt.Sprint(len(v.Lanes))},
	}
	return append(rows, []string{"cache at", strings.Join(v.Targets, ", ")})
}
