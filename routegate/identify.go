package routegate

import (
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/httpfield"
	"wheelgauge/routetable"
)

const (
	// maxConfigAge is how recently the configuration must have been confirmed as the newest
	// for an unknown key to be rejected with 401: some heartbeats. Callers do not retry after
	// a 401, so a host that is cut off or has just started answers 503, which sends them to
	// another host.
	maxConfigAge = time.Second
	// staleConfigRetryAfter is the Retry-After when a key may be newer than the configuration
	// here: one heartbeat and a fetch.
	staleConfigRetryAfter = 300 * time.Millisecond
)

// identify determines the workspace of a request, or returns why it is refused.
func (g *Gate) identify(c *call, t *routetable.Table) *wheelgauge.Error {
	if c.forwarded {
		return g.identifyForwarded(c, t)
	}
	if !t.KeysRequired() {
		return nil
	}
	key, count := g.callerKey(c.request.Header())
	if count == 0 && c.route.AllowAnonymous {
		return nil
	}
	if count == 1 {
		c.workspace = t.WorkspaceByKey(key)
	}
	if c.workspace != nil {
		return nil
	}
	if age := g.configAge(); age < 0 || age > maxConfigAge {
		return refusal(wheelgauge.ReasonNoConfiguration, http.StatusServiceUnavailable, "this key may be newer than the configuration here").WithRetryAfter(staleConfigRetryAfter)
	}
	return refusal(wheelgauge.ReasonUnauthorized, http.StatusUnauthorized, "no workspace has this key")
}

// identifyForwarded trusts the workspace named by the host that the caller connected to. A
// workspace unknown here is refused, as its home regions are unknown too.
func (g *Gate) identifyForwarded(c *call, t *routetable.Table) *wheelgauge.Error {
	name := string(httpfield.Value(c.request.Header(), wheelgauge.HeaderWorkspace))
	if name == "" {
		return nil
	}
	if c.workspace = t.Workspace(name); c.workspace == nil {
		return refusal(wheelgauge.ReasonNoConfiguration, http.StatusServiceUnavailable, "no workspace of this name is known here").WithRetryAfter(staleConfigRetryAfter)
	}
	return nil
}

// callerKey returns the last key that the caller sent, and how many it sent.
func (g *Gate) callerKey(h *fasthttp.RequestHeader) (key []byte, count int) {
	keys := httpfield.Values(h, g.options.Names.APIKey)
	if len(keys) == 0 {
		return nil, 0
	}
	return keys[len(keys)-1], len(keys)
}

// allowedIn reports whether both the route and the workspace allow the request to run in a
// region.
func (c *call) allowedIn(region string) bool {
	return c.route.AllowedIn(region) && c.workspace.AllowedIn(region)
}

// noCommonHome reports whether the request may run nowhere because its route and its workspace
// share no home region.
func (c *call) noCommonHome() bool {
	if c.workspace == nil || len(c.route.HomeRegions) == 0 || len(c.workspace.HomeRegions) == 0 {
		return false
	}
	for _, home := range c.route.HomeRegions {
		if c.workspace.AllowedIn(home) {
			return false
		}
	}
	return true
}

// workspaceName is empty for a request without a workspace.
func (c *call) workspaceName() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}
