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

// maxPlaceWaitShare is the share of its remaining time that a request waits at most for a place at
// a server that bears few rejections.
const maxPlaceWaitShare = 0.25

// announced are the limits that a server has announced.
type announced struct {
	rate    float64
	limited bool
	// bears is how many rejections a second the server bears if it is brittle.
	bears   float64
	brittle bool
}

func announcedBy(limits *serverlimit.Table, server string) (a announced) {
	a.rate, a.limited = limits.Rate(server)
	a.bears, a.brittle = limits.RateOf(wheelgauge.LimitRejections, server)
	return a
}

// deferral is the time until which a server's limits allow no request, and what these were then.
type deferral struct {
	until  time.Time
	limits announced
}

// deferrals holds the servers for which this host was refused a permit.
type deferrals struct {
	limits *serverlimit.Table
	mu     sync.Mutex
	rows   map[string]deferral
}

func (d *deferrals) add(server string, after time.Duration, now time.Time) {
	limits := announcedBy(d.limits, server)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.rows == nil {
		d.rows = map[string]deferral{}
	}
	d.rows[server] = deferral{until: now.Add(after), limits: limits}
}

// blocks reports whether a server must get no request now. A deferral no longer applies once
// the server's limits have changed or ended.
func (d *deferrals) blocks(server string, now time.Time) bool {
	d.mu.Lock()
	row, known := d.rows[server]
	d.mu.Unlock()
	if !known || !now.Before(row.until) {
		return false
	}
	limits := announcedBy(d.limits, server)
	return (limits.limited || limits.brittle) && limits == row.limits
}

// openPermits sets up the limits that servers announce and the permits for them.
func (g *Gateway) openPermits() {
	g.limits = serverlimit.New(g.clock.Now)
	g.deferrals.limits = g.limits
	g.permits = permitclient.New(permitclient.Options{
		Host: g.options.Host, Boot: g.boot, Limits: g.limits, Stores: g.permitStores, Sharers: g.liveHosts, Request: g.requestPermit, Now: g.clock.Now,
	})
	g.permitsDone = make(chan error, 1)
	go func() { g.permitsDone <- g.permits.Run(g.ctx) }()
}

// observeBrittle reads how many rejections a server bears from its answer to a call that was sent
// at the given time.
func (g *Gateway) observeBrittle(server string, status int, values [][]byte, sent time.Time) {
	kind := wheelgauge.LimitRejections
	switch {
	case len(values) == 1:
		n, ok := serverlimit.Parse(string(values[0]))
		if !ok {
			g.meter.Count("servers.brittle.unreadable")
		} else if g.limits.Observe(kind, server, n) {
			g.meter.Count("servers.brittle")
			g.options.Log.Info("A server names the rejections that it bears.", "server", server, "rate", n, "status", status)
		}
	case len(values) > 1:
		g.meter.Count("servers.brittle.unreadable")
	case status >= http.StatusOK && status < http.StatusMultipleChoices && g.limits.ObserveNone(kind, server, sent):
		g.options.Log.Info("A server names no rejections any more.", "server", server)
	}
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

// pickPermitted picks a server that may get the call. The limits that a server announces apply
// to all hosts of the region together, so a call to it needs a permit, or a place if the server
// bears few rejections. The call holds its place until it
// fails or its answer is closed.
func (g *Gateway) pickPermitted(ctx context.Context, rq *request, tried []string) (*catalog.Server, bool) {
	left := time.Duration(maxPlaceWaitShare * float64(g.timeLeft(rq)))
	for ctx.Err() == nil && !g.expired(rq) {
		server, ok := g.pickServer(rq, tried)
		if !ok {
			return nil, false
		}
		began := g.clock.Now()
		after, permitted := g.permit(ctx, rq, server, min(wheelgauge.MaxPermitLead, max(0, left)))
		if permitted {
			return server, true
		}
		left -= g.clock.Now().Sub(began)
		g.meter.Count("permits.refused")
		g.deferrals.add(server.Name, after, g.clock.Now())
	}
	return nil, false
}

// permit takes a place at a server, and a permit if the server has announced a limit.
func (g *Gateway) permit(ctx context.Context, rq *request, server *catalog.Server, maxWait time.Duration) (after time.Duration, ok bool) {
	permitCtx, cancel := context.WithDeadline(ctx, g.localDeadline(rq))
	defer cancel()
	limits := announcedBy(g.limits, server.Name)
	after, ok = g.permits.Enter(permitCtx, wheelgauge.PlaceQuery{
		Server: server.Name, Slots: server.Slots, Brittle: limits.brittle, Bears: limits.bears, Rank: -rq.call.Priority, MaxWait: maxWait,
	})
	if !ok || !limits.limited {
		return after, ok
	}
	if after, ok = g.permits.Acquire(permitCtx, server.Name, 0); !ok {
		g.permits.Leave(server.Name)
	}
	return after, ok
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
