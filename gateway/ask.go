package gateway

import (
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/membership"
	"wheelgauge/serverask"
)

// asks are what servers ask of this host, by name; those of old paths by address.
type asks struct {
	mu   sync.Mutex
	rows map[string]*askRow
	// some is set while there are rows.
	some atomic.Bool
}

// askRow is what one server asks.
type askRow struct {
	serverask.Ask
	// reported is set once its load reports say too that it leaves.
	reported bool
}

// of returns the row of a server; the lock is held.
func (a *asks) of(server string) *askRow {
	if a.rows == nil {
		a.rows = map[string]*askRow{}
	}
	if a.rows[server] == nil {
		a.rows[server] = &askRow{}
		a.some.Store(true)
	}
	return a.rows[server]
}

func (a *asks) rest(server string, wait time.Duration, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.of(server).Rest(now, wait)
}

func (a *asks) leave(server string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.of(server).Leave(now)
}

// look returns what a server asks, by what is known of it otherwise: it has no name for each
// of its starts.
func (a *asks) look(server string, state membership.ServerState, now time.Time) serverask.Ask {
	if !a.some.Load() {
		return serverask.Ask{}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	row := a.rows[server]
	if row == nil {
		return serverask.Ask{}
	}
	if !state.Since.IsZero() {
		row.Returned(state.Since)
	}
	switch {
	case state.Leaving:
		row.reported = true
	case row.reported:
		row.Returned(now)
		row.reported = false
	default:
		row.Listed(now)
	}
	if row.Over(now) {
		delete(a.rows, server)
		a.some.Store(len(a.rows) > 0)
	}
	return row.Ask
}

// askListener takes what the answer to one call asks of this host.
type askListener struct {
	gateway *Gateway
	server  string
	// rest is set by an answer that turns the call away and asks for a rest.
	rest atomic.Bool
}

// hear is for wheelgauge.Call.
func (l *askListener) hear(status int, values func(name string) [][]byte) {
	g, now := l.gateway, l.gateway.clock.Now()
	leaving, ok := serverask.ParseLeaving(values(wheelgauge.HeaderLeaving))
	if !ok {
		g.meter.Count("servers.leaving.unreadable")
	}
	if leaving && g.asks.leave(l.server, now) {
		g.meter.Count("servers.leaving")
		g.o.Log.Info("A server says that it leaves.", "server", l.server, "status", status)
	}
	if status != http.StatusServiceUnavailable {
		return
	}
	after := slices.Clone(values(fasthttp.HeaderRetryAfter))
	wait, ok := serverask.ParseRest(after, values(fasthttp.HeaderDate))
	switch {
	case !ok && len(after) > 0:
		g.meter.Count("servers.rests.unreadable")
	case ok && wait > 0:
		l.rest.Store(true)
		g.meter.Count("servers.rests")
		g.aside.Worked(l.server) // when it takes work again it has said itself
		if g.asks.rest(l.server, wait, now) {
			g.o.Log.Info("A server asks for a rest.", "server", l.server, "rest_ms", wait.Milliseconds())
		}
	}
}

// restOver returns after which time the first server of this region takes a request, where
// all that might take it rest; ok is false otherwise.
func (g *Gateway) restOver(rq *request) (after time.Duration, ok bool) {
	f := fields.Get().(*field)
	defer fields.Put(f)
	g.survey(f, rq.catalog, rq.route, rq.model, nil)
	return f.rest, f.slots == 0 && f.rest > 0
}

func restError(rq *request, region string, after time.Duration) error {
	return wheelgauge.NewError(wheelgauge.ReasonResting, wheelgauge.OutcomeNotRun, http.StatusServiceUnavailable,
		"all backend servers of "+rq.route.Name+" in "+region+" have asked for a rest").WithRetryAfter(after)
}
