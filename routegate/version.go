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

// placeForVersion chooses a server of a version that may get the request. If the target
// version of a rollout has no server for it, the other versions may get it.
func (c *call) placeForVersion(ctx context.Context) placement {
	g := c.gate.options
	c.releaseVersions()
	if c.continues() {
		c.versionFilter, c.releaseChoice = g.Versions.ChooseVersion(c.service, c.origin.version)
		return c.placeWithPermit(ctx)
	}
	c.versionFilter, c.releaseChoice = g.Versions.Choose(c.service, c.route.Name, c.longestDuration(), c.runs > 0)
	p := c.placeWithPermit(ctx)
	if _, only := c.versionFilter.Only(); !only || p.pick != nil || ctx.Err() != nil {
		return p
	}
	fallback, release, ok := g.Versions.ChooseFallback(c.service, c.versionFilter, g.Servers.HasVersion(c.service, c.versionFilter))
	if !ok {
		return p
	}
	c.releaseVersions()
	c.versionFilter, c.releaseChoice = fallback, release
	return c.placeWithPermit(ctx)
}

// releaseVersions ends the choice of versions.
func (c *call) releaseVersions() {
	if c.releaseChoice != nil {
		c.releaseChoice()
		c.releaseChoice = nil
	}
}

// longestDuration is the longest time that the request is likely to take.
func (c *call) longestDuration() time.Duration {
	return c.gate.durations.get(c.route.Name, c.route.Timeout).longest
}

// recordAnswer counts the answer of a server for rollouts. Requests that it did not run, or
// whose caller disconnected, do not count.
func (c *call) recordAnswer(ctx context.Context, x *exchange, k *serverset.Pick) {
	if ctx.Err() != nil || c.endedBy.unrelatedToServer() {
		return
	}
	a := tally.Answer{Service: c.service, Route: c.route.Name, Server: k.Server().InstanceKey(), FirstByte: x.firstAfter}
	if x.err != nil {
		a.Failed = true
	} else {
		status := x.head.StatusCode()
		if len(httpfield.Value(x.head, c.gate.options.Names.NotRun)) > 0 || status == http.StatusMisdirectedRequest {
			return
		}
		a.Failed = status >= http.StatusInternalServerError
	}
	if version, number, ok := c.gate.options.Versions.Target(c.service); ok {
		a.RolloutNumber, a.Target, a.Fresh = number, version == c.sentVersion, k.NewOrCold()
	}
	if events := c.splitter.Events() - x.eventsBefore; events > 1 && c.route.Kind == wheelgauge.RouteStream {
		a.EventInterval = max(0, c.lastEventAt.Sub(x.sentAt)-x.firstAfter-x.pace.writing) / time.Duration(events-1)
	}
	c.gate.options.Tally.Add(a)
}
