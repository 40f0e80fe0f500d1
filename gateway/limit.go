package gateway

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"wheelgauge"
	"wheelgauge/catalog"
	"wheelgauge/permitclient"
	"wheelgauge/rendezvous"
	"wheelgauge/serverlimit"
)

// deferral is the time until which a server's limit allows no request, and the rate that the
// limit had then.
type deferral struct {
	until time.Time
	rate  float64
}

// deferrals holds the servers for which this host was refused a permit.
type deferrals struct {
	limits *serverlimit.Table
	mu     sync.Mutex
	rows   map[string]deferral
}

func (d *deferrals) add(server string, after time.Duration, now time.Time) {
	rate, _ := d.limits.Rate(server)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.rows == nil {
		d.rows = map[string]deferral{}
	}
	d.rows[server] = deferral{until: now.Add(after), rate: rate}
}

// blocks reports whether a server must get no request now. A deferral no longer applies once
// the server's limit has changed or ended.
func (d *deferrals) blocks(server string, now time.Time) bool {
	d.mu.Lock()
	row, known := d.rows[server]
	d.mu.Unlock()
	if !known || !now.Before(row.until) {
		return false
	}
	rate, limited := d.limits.Rate(server)
	return limited && rate == row.rate
}

// openPermits sets up the limits that servers announce and the permits for them.
func (g *Gateway) openPermits() {
	g.limits = serverlimit.New(g.clock.Now)
	g.deferrals.limits = g.limits
	g.permits = permitclient.New(permitclient.Options{
		Host: g.options.Host, Limits: g.limits, Stores: g.permitStores, Sharers: g.liveHosts, Request: g.requestPermit, Now: g.clock.Now,
	})
}

// observeLimit reads a server's limit from its answer to a call that was sent at the given time.
func (g *Gateway) observeLimit(server string, answer *wheelgauge.Response, sent time.Time) {
	text := answer.Header(wheelgauge.HeaderLimit)
	rate, named := serverlimit.Parse(text)
	switch {
	case named:
		if g.limits.ObserveLimit(server, rate) {
			g.meter.Count("servers.limited")
			g.options.Log.Info("A server names a limit.", "server", server, "rate", rate)
		}
	case text != "":
		g.meter.Count("servers.limit.unreadable")
	case answer.Status >= http.StatusOK && answer.Status < http.StatusMultipleChoices && g.limits.ObserveNoLimit(server, sent):
		g.options.Log.Info("A server's limit ends.", "server", server)
	}
}

// pickPermitted picks a server that may get the call. The limit that a server announces applies
// to all hosts of the region together, so a call to it needs a permit.
func (g *Gateway) pickPermitted(ctx context.Context, rq *request, tried []string) (*catalog.Server, bool) {
	for ctx.Err() == nil && !g.expired(rq) {
		server, ok := g.pickServer(rq, tried)
		if !ok {
			return nil, false
		}
		after, permitted := g.permit(ctx, rq, server.Name)
		if permitted {
			return server, true
		}
		g.meter.Count("permits.refused")
		g.deferrals.add(server.Name, after, g.clock.Now())
	}
	return nil, false
}

// permit takes a permit for a call to a server that has announced a limit; other servers need
// none.
func (g *Gateway) permit(ctx context.Context, rq *request, server string) (after time.Duration, ok bool) {
	if _, limited := g.limits.Rate(server); !limited {
		return 0, true
	}
	permitCtx, cancel := context.WithDeadline(ctx, g.localDeadline(rq))
	defer cancel()
	return g.permits.Acquire(permitCtx, server, 0)
}

// permitStores returns the stores of the region, whose hubs issue permits. In a region without
// stores it returns the gateway that all hosts choose by rendezvous hashing.
func (g *Gateway) permitStores() []wheelgauge.RegionStore {
	c := g.watcher.Current()
	if c == nil {
		return nil
	}
	var out []wheelgauge.RegionStore
	var names []string
	for _, h := range c.Hosts(g.options.Region) {
		if h.StoreAddress != "" {
			out = append(out, wheelgauge.RegionStore{Address: h.StoreAddress, Reachable: true})
		}
		names = append(names, h.Name)
	}
	if len(out) == 0 && len(names) > 0 {
		first := c.Host(rendezvous.Top(g.options.Region, names, 1)[0])
		out = append(out, wheelgauge.RegionStore{Address: first.PeerAddress, Reachable: true})
	}
	return out
}

// liveHosts returns the sorted names of the region's live hosts, including this one.
func (g *Gateway) liveHosts() []string {
	c := g.watcher.Current()
	if c == nil {
		return nil
	}
	var out []string
	for _, h := range c.Hosts(g.options.Region) {
		if h.Name == g.options.Host || g.node.HostAvailable(h.Name) {
			out = append(out, h.Name)
		}
	}
	slices.Sort(out)
	return out
}

func (g *Gateway) requestPermit(ctx context.Context, address string, req wheelgauge.PermitRequest) (a wheelgauge.PermitResponse, err error) {
	if address == g.options.PeerAddress {
		return g.node.LocalHub().Permit(req), nil
	}
	err = g.client.Call(ctx, http.MethodPost, address, permitclient.Path, req, &a)
	return a, err
}
