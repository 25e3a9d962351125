package dispatch

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/policy"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// handleFinish returns a permit and updates the pool's statistics from the run.
func (d *Dispatcher) handleFinish(now time.Time, m *structs.PermitFinish) {
	p := d.findPool(m.Pool)
	if p == nil {
		return
	}
	p.usedAt = now
	c := d.calls[m.Ref.Run]
	d.ended.add(m.Ref.Run)
	if c == nil {
		return
	}
	t := c.target
	d.removeCall(c)
	if t == nil {
		return // ran under another dispatcher's permit
	}
	p.shares.Add(c.request.Team, m.Took-p.estimates.CallTime, c.request.Weight)
	p.recordRun(now, c, t, m)
	p.recordCache(now, c, t, m)
}

// recordRun updates the pool's estimates and the target's health.
func (p *pool) recordRun(now time.Time, c *call, t *target, m *structs.PermitFinish) {
	switch m.Failure {
	case structs.RunOK:
	case structs.RunNotSent, structs.RunBroken, structs.RunTimeout:
		p.recordFailure(now, t)
		return
	default:
		return
	}
	expected := p.estimates.CallTime
	uncached := max(0, m.Usage.PromptTokens-m.Usage.CachedTokens)
	if p.service.Kind == structs.ServiceEngine {
		expected = c.prefillAhead + p.estimates.ExpectedTime(uncached, m.Usage.CompletionTokens)
	}
	ratio := float64(m.Took) / float64(max(time.Millisecond, expected))
	t.health.RecordSuccess(p.service.Rules, now, ratio, p.canEject())
	p.estimates.Add(policy.RunSample{
		UncachedTokens: uncached, CompletionTokens: m.Usage.CompletionTokens,
		FirstToken: m.FirstToken, Duration: m.Took, Queued: c.prefillAhead,
	})
}
