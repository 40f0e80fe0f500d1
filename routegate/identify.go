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
	// maxConfigAge is how long ago the configuration must have been known to be the
	// newest for an unknown key to be refused for good: some heartbeats, so that a host
	// which is cut off, or has just started, sends callers on. They do not come back
	// after a 401.
	maxConfigAge = time.Second
	// staleConfigRetryAfter is when a caller comes back whose key may be newer than the
	// configuration here: one heartbeat and a fetch.
	staleConfigRetryAfter = 300 * time.Millisecond
)

// identify finds the workspace of a request, or says why it is refused.
func (g *Gate) identify(c *call, t *routetable.Table) *wheelgauge.Error {
	if c.forwarded {
		return g.identifyForwarded(c, t)
	}
	if !t.KeysNeeded() {
		return nil
	}
	key, count := g.callerKey(c.request.Header())
	if count == 0 && c.route.Open {
		return nil
	}
	if count == 1 {
		c.workspace = t.ByKey(key)
	}
	if c.workspace != nil {
		return nil
	}
	if age := g.configAge(); age < 0 || age > maxConfigAge {
		return refusal(wheelgauge.ReasonNoConfiguration, http.StatusServiceUnavailable, "this key may be newer than the configuration here").WithRetryAfter(staleConfigRetryAfter)
	}
	return refusal(wheelgauge.ReasonUnauthorized, http.StatusUnauthorized, "no workspace has this key")
}

// identifyForwarded takes the word of the host that the caller came to. A workspace
// that is not known here may have homes that are not known either.
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

// callerKey returns the caller's key and how many it sent.
func (g *Gate) callerKey(h *fasthttp.RequestHeader) (key []byte, count int) {
	keys := httpfield.Values(h, g.options.Names.Key)
	if len(keys) == 0 {
		return nil, 0
	}
	return keys[len(keys)-1], len(keys)
}

// allowedIn tells whether the request may run in a region: homes of the route and of
// the workspace both bind.
func (c *call) allowedIn(region string) bool {
	return c.route.AllowedIn(region) && c.workspace.AllowedIn(region)
}

// noCommonHome tells whether the request may run nowhere: its route and its workspace have
// no home in common.
func (c *call) noCommonHome() bool {
	if c.workspace == nil || len(c.route.Homes) == 0 || len(c.workspace.Homes) == 0 {
		return false
	}
	for _, home := range c.route.Homes {
		if c.workspace.AllowedIn(home) {
			return false
		}
	}
	return true
}

// workspaceName is empty for a request without one.
func (c *call) workspaceName() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}
