package routegate

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"wheelgauge"
	"wheelgauge/httpfield"
	"wheelgauge/routetable"
)

const (
	// staleConfigAge is how long the configuration may not have been known to be the newest before
	// the routes of single requests are looked up: ten heartbeats, half of the shortest time in
	// which users expect a change to be in force.
	staleConfigAge = 1500 * time.Millisecond
	// maxRejudged bounds how often a request is judged anew because other gateways hold newer
	// versions.
	maxRejudged = 2
)

// judge finds the route and the workspace of a request, or returns why it is refused. A forwarded
// request is turned back if the version by which it was admitted handles it in another way.
func (g *Gate) judge(ctx context.Context, c *call) *wheelgauge.Error {
	apiErr := g.judgeOnce(ctx, c)
	if c.agreesWithSender() {
		return apiErr
	}
	if c.version < c.admittedBy {
		c.leastVersion = c.admittedBy
		if apiErr = g.judgeOnce(ctx, c); c.agreesWithSender() {
			return apiErr
		}
	}
	g.options.Meter.Count("requests.other_version")
	return refusal(wheelgauge.ReasonOtherVersion, http.StatusServiceUnavailable, "the configuration here handles this request in another way").WithRetryAfter(staleConfigRetryAfter).WithVersion(c.version)
}

// agreesWithSender reports whether a request is handled as by the version by which the forwarding
// gateway admitted it, if it was forwarded. Where a stream goes on is decided by what began it.
func (c *call) agreesWithSender() bool {
	if c.route != nil && c.continues() {
		return true
	}
	return c.admittedBy == 0 || c.admittedBy == c.version || c.admittedRoute == routetable.Digest(c.route, c.workspace)
}

// judgeOnce is judge by the newest version that is known here.
func (g *Gate) judgeOnce(ctx context.Context, c *call) *wheelgauge.Error {
	t, toldBy := g.tableFor(ctx, c)
	if t == nil {
		g.options.Meter.Count("requests.no_version")
		return refusal(wheelgauge.ReasonNoConfiguration, http.StatusServiceUnavailable, "a newer configuration was in force here and is not known completely").WithRetryAfter(staleConfigRetryAfter)
	}
	h := c.request.Header()
	c.version, c.toldBy, c.workspace = t.Version(), toldBy, nil
	c.route = t.Match(string(h.Host()), string(h.RequestURI()))
	if c.route == nil {
		return refusal(wheelgauge.ReasonNotFound, http.StatusNotFound, "no route for this host and path")
	}
	if apiErr := g.identify(c, t); apiErr != nil {
		return apiErr
	}
	if c.noCommonHome() {
		return refusal(wheelgauge.ReasonResidency, http.StatusMisdirectedRequest, "route and workspace have no home in common")
	}
	c.rank = t.Rank(c.workspace, c.route)
	return nil
}

// tableFor returns the table to judge a request by: the one held, or one with the newer routes of a
// store, toldBy, if the one held may be outdated. It is nil if only versions are known here that are
// older than one by which requests were judged before.
func (g *Gate) tableFor(ctx context.Context, c *call) (t *routetable.Table, toldBy string) {
	t = g.table.Load()
	least, age := max(g.floor.Version(), c.leastVersion), g.configAge()
	if t.Version() >= least && (age <= staleConfigAge || g.options.Lookup == nil) {
		return t, ""
	}
	q := wheelgauge.RouteQuery{LookupRequest: g.lookupRequest(c), Required: t.Version() < least}
	q.Version = t.Version()
	if q.Required {
		q.Version = least - 1
	}
	told, store := g.lookUp(ctx, q, age)
	// The whole configuration may have come in the meantime, and other requests may have gone by a
	// newer version.
	t, least = g.table.Load(), max(g.floor.Version(), c.leastVersion)
	if told != nil && told.Version() > t.Version() && told.Version() >= least {
		return told, store
	}
	if t.Version() >= least {
		return t, ""
	}
	return g.floor.Part(q.LookupRequest, least), g.floor.Store()
}

// lookupRequest returns what to ask stores for to judge a request.
func (g *Gate) lookupRequest(c *call) wheelgauge.LookupRequest {
	h := c.request.Header()
	r := wheelgauge.LookupRequest{HostName: routetable.HostName(string(h.Host()))}
	if c.forwarded {
		r.Workspace = string(httpfield.Value(h, wheelgauge.HeaderWorkspace))
		return r
	}
	if key, count := g.callerKey(h); count == 1 {
		r.Key = string(key)
	}
	return r
}

// lookUp asks stores for a newer version, and raises the floor to it; nil if none tells of one.
func (g *Gate) lookUp(ctx context.Context, q wheelgauge.RouteQuery, age time.Duration) (told *routetable.Table, store string) {
	if g.options.Lookup == nil {
		return nil, ""
	}
	g.options.Meter.Count("lookups.routes")
	resp, ok := g.options.Lookup.Routes(ctx, q)
	if !ok {
		return nil, ""
	}
	held := g.table.Load()
	if held.Version() >= resp.Version {
		return nil, "" // the whole of it has come
	}
	if known := g.floor.Part(q.LookupRequest, resp.Version); known != nil {
		return known, resp.Store
	}
	told, err := held.WithPart(q.LookupRequest, resp)
	if err != nil {
		g.options.Log.Error(err, "Routes of a store cannot be decoded; they are not used.", "host", q.HostName, "version", resp.Version)
		return nil, ""
	}
	g.options.Meter.Count("lookups.routes.newer")
	if g.floor.Add(q.LookupRequest, told, resp.Store) {
		g.options.Log.Info("Requests go by a newer version of a store.", "version", resp.Version, "held", held.Version(), "store", resp.Store, "required", q.Required, "state_age_ms", age.Milliseconds())
	}
	return told, resp.Store
}

// rejudge judges a request anew, by a version that another gateway holds, and reports whether it may
// go on as it is judged now. It must not have run anywhere. apiErr is why it is refused.
func (c *call) rejudge(ctx context.Context, version uint64) (ok bool, apiErr *wheelgauge.Error) {
	if c.forwarded || c.runs > 0 || c.continues() || c.rejudged >= maxRejudged {
		return false, nil
	}
	c.rejudged++
	c.refundCapUnits() // another workspace may be charged then
	c.leastVersion = version
	apiErr = c.gate.judgeOnce(ctx, c)
	if c.version < version {
		c.leastVersion = 0 // nobody tells: another gateway may hold the version here
		return false, nil
	}
	if apiErr != nil {
		return false, apiErr
	}
	c.service = routetable.PickService(c.route) // its time limit stays: others read it meanwhile
	return true, nil
}

// endOtherVersion handles a refusal of a gateway whose version of the configuration handles the
// request in another way. One that holds a newer version may get it again, as judged by that; one
// that holds an older version still serves the requests of other routes.
func (c *call) endOtherVersion(ctx context.Context, version uint64) result {
	c.gate.options.Meter.Count("forward.other_version")
	if version <= c.version {
		return notRun
	}
	ok, apiErr := c.rejudge(ctx, version)
	switch {
	case apiErr != nil:
		c.refuse(apiErr)
		return answered
	case ok:
		c.triedPeers = c.triedPeers[:len(c.triedPeers)-1]
		return turnedBack
	}
	return notRun
}

// atOtherVersion reports whether the request is judged by another version than the one held, or by
// another one than at the gateway that forwarded it.
func (c *call) atOtherVersion() bool {
	return c.toldBy != "" || c.rejudged > 0 || c.admittedBy != 0 && c.admittedBy != c.version
}

// parseNumber reads a number from a header of another gateway; 0 if there is none.
func parseNumber(header []byte) uint64 {
	n, err := strconv.ParseUint(string(header), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
