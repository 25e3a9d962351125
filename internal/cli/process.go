package cli

import (
	"context"
	"fmt"
	"net/http"
)

// Routes that concern a single instance.
const (
	dumpRoute   = "/debug/state"
	drainRoute  = "/v1/drain"
	healthRoute = "/healthz"
	readyRoute  = "/readyz"
)

// DumpCommand prints the state of the instance at --server.
type DumpCommand struct{ ClientOptions }

func (c *DumpCommand) execute(ctx context.Context, p *Program) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	resp, err := client.get(ctx, dumpRoute, nil)
	if err != nil {
		return err
	}
	return p.printJSON(resp.body)
}

// DrainCommand starts the graceful shutdown of the instance at --server.
type DrainCommand struct{ ClientOptions }

func (c *DrainCommand) execute(ctx context.Context, p *Program) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	resp, err := client.do(ctx, http.MethodPost, drainRoute, nil, nil)
	if err != nil {
		return err
	}
	if c.JSON {
		return p.printJSON(resp.body)
	}
	_, err = fmt.Fprintf(p.Out, "%s is draining: it accepts no new work and exits once its calls have ended\n", c.Server)
	return err
}

// StatusCommand prints whether the instance at --server is healthy and ready. The
// exit code is 1 if it is not ready.
type StatusCommand struct{ ClientOptions }

// health is the response body of the health and readiness routes.
type health struct {
	State  string `json:"state"`
	Detail string `json:"detail,omitempty"`
}

func (c *StatusCommand) execute(ctx context.Context, p *Program) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	live, err := client.get(ctx, healthRoute, nil)
	if err != nil {
		return err
	}
	ready, err := client.send(ctx, http.MethodGet, readyRoute, nil, nil)
	if err != nil {
		return err
	}
	if err := c.print(p, live, ready); err != nil {
		return err
	}
	if ready.status != http.StatusOK {
		return errReported
	}
	return nil
}

func (c *StatusCommand) print(p *Program, live, ready response) error {
	if c.JSON {
		return p.printJSON(ready.body)
	}
	var state health
	if err := ready.decode(&state); err != nil {
		return err
	}
	return p.printTable([]string{"CHECK", "STATUS", "STATE", "DETAIL"}, [][]string{
		{"healthy", fmt.Sprint(live.status), "", ""},
		{"ready", fmt.Sprint(ready.status), state.State, state.Detail},
	})
}
