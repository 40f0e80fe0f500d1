package routegate

import (
	"context"
	"net/http"
	"time"

	"wheelgauge"
	"wheelgauge/httpfield"
	"wheelgauge/rollout/tally"
	"wheelgauge/serverset"
)

// placeVersion places the request on a server of a version that may get it. Where the version
// that is rolled out has no server for it, the others are as good.
func (c *call) placeVersion(ctx context.Context) place {
	g := c.gate.options
	c.freeVersion()
	c.versions, c.freeVersions = g.Versions.Choose(c.service, c.route.Name, c.lasts(), c.runs > 0)
	p := c.placePermitted(ctx)
	if _, only := c.versions.Only(); !only || p.pick != nil || ctx.Err() != nil {
		return p
	}
	other, free, ok := g.Versions.Otherwise(c.service, c.versions, g.Servers.Lists(c.service, c.versions))
	if !ok {
		return p
	}
	c.freeVersion()
	c.versions, c.freeVersions = other, free
	return c.placePermitted(ctx)
}

// freeVersion ends the choice of versions.
func (c *call) freeVersion() {
	if c.freeVersions != nil {
		c.freeVersions()
		c.freeVersions = nil
	}
}

// lasts is how long the request is likely to take at most.
func (c *call) lasts() time.Duration {
	return c.gate.durations.get(c.route.Name, c.route.Timeout).longest
}

// tally counts how a server answered, for rollouts. What it did not run, and what its caller
// gave up, says nothing.
func (c *call) tally(ctx context.Context, x *exchange, k *serverset.Pick) {
	if ctx.Err() != nil || c.left {
		return
	}
	a := tally.Answer{Service: c.service, Route: c.route.Name, Server: k.Server().Life(), First: x.firstAfter}
	if x.broken != nil {
		a.Failed = true
	} else {
		status := x.head.StatusCode()
		if len(httpfield.Value(x.head, c.gate.options.Names.NotRun)) > 0 || status == http.StatusMisdirectedRequest {
			return
		}
		a.Failed = status >= http.StatusInternalServerError
	}
	if version, number, ok := c.gate.options.Versions.Target(c.service); ok {
		a.Number, a.Target, a.Fresh = number, version == c.sentTo, k.Fresh()
	}
	if events := c.splitter.Events() - x.eventsBefore; events > 1 && c.route.Kind == wheelgauge.RouteStream {
		a.Step = (c.lastAt.Sub(x.sent) - x.firstAfter) / time.Duration(events-1)
	}
	c.gate.options.Tally.Add(a)
}
