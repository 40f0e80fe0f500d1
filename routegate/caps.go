package routegate

import (
	"context"
	"time"

	"wheelgauge"
)

// takeCapUnits takes units of the workspace cap for the next dispatch, unless those of an
// earlier dispatch are unused. A forwarded request is counted by the host that the caller
// connected to.
func (c *call) takeCapUnits(ctx context.Context) *wheelgauge.Error {
	caps := c.gate.options.Caps
	if caps == nil || c.forwarded || c.capUnits > 0 || c.workspace == nil || !c.workspace.Cap.HasLimit() {
		return nil
	}
	units := c.workspace.Cap.Units(c.prompt.StatedTokens())
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	began := time.Now()
	apiErr := caps.Acquire(ctx, c.workspace, units)
	c.capWait += time.Since(began)
	if apiErr == nil {
		c.capUnits = units
	}
	return apiErr
}

// endOverCap ends a request whose dispatch or retry the cap does not allow.
func (c *call) endOverCap(ctx context.Context, apiErr *wheelgauge.Error) {
	switch {
	case ctx.Err() != nil:
		c.endCancelled(ctx)
	case c.runs == 0 && !c.request.Started():
		c.refuse(apiErr)
	default:
		c.fail(c.cause, "a backend server failed, and the cap allows no repeat: "+c.cause)
	}
}

// refundCapUnits gives back units that were taken for a request that did not run.
func (c *call) refundCapUnits() {
	if c.capUnits > 0 {
		c.gate.options.Caps.Refund(c.workspace, c.capUnits)
		c.capUnits = 0
	}
}
