package routegate

import (
	"context"
	"time"

	"wheelgauge"
)

// draw draws units of the workspace's cap for the next dispatch, unless those drawn for
// an earlier one were not used. A forwarded request is counted by the host that the
// caller came to.
func (c *call) draw(ctx context.Context) *wheelgauge.Error {
	caps := c.gate.options.Caps
	if caps == nil || c.forwarded || c.drawn > 0 || c.workspace == nil || !c.workspace.Cap.Bounds() {
		return nil
	}
	units := c.workspace.Cap.Units(c.prompt.Counted())
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	began := time.Now()
	fault := caps.Take(ctx, c.workspace, units)
	c.capWait += time.Since(began)
	if fault == nil {
		c.drawn = units
	}
	return fault
}

// overCap ends a request that may not be sent, or not once more.
func (c *call) overCap(ctx context.Context, fault *wheelgauge.Error) {
	switch {
	case ctx.Err() != nil:
		c.leave()
	case c.runs == 0 && !c.request.Begun():
		c.refuse(fault)
	default:
		c.fail(c.cause, "a backend server failed, and the cap allows no repeat: "+c.cause)
	}
}

// giveBack returns units that were drawn for a request that was not run.
func (c *call) giveBack() {
	if c.drawn > 0 {
		c.gate.options.Caps.Return(c.workspace, c.drawn)
		c.drawn = 0
	}
}
