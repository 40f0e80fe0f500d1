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
	"wheelgauge/pushback"
)

// pushbacks are what servers ask of this host, by name; those of old paths by address.
type pushbacks struct {
	mu   sync.Mutex
	rows map[string]*pushbackRow
	// some is set while there are rows.
	some atomic.Bool
}

// pushbackRow is what one server asks.
type pushbackRow struct {
	pushback.State
	// reported is set once its load reports say too that it leaves.
	reported bool
}

// of returns the row of a server; the lock is held.
func (a *pushbacks) of(server string) *pushbackRow {
	if a.rows == nil {
		a.rows = map[string]*pushbackRow{}
	}
	if a.rows[server] == nil {
		a.rows[server] = &pushbackRow{}
		a.some.Store(true)
	}
	return a.rows[server]
}

func (a *pushbacks) backOff(server string, wait time.Duration, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.of(server).BackOff(now, wait)
}

func (a *pushbacks) leave(server string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.of(server).Leave(now)
}

// look returns what a server asks, by what is known of it otherwise: it has no name for each
// of its starts.
func (a *pushbacks) look(server string, state membership.ServerState, now time.Time) pushback.State {
	if !a.some.Load() {
		return pushback.State{}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	row := a.rows[server]
	if row == nil {
		return pushback.State{}
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
	return row.State
}

// pushbackListener takes what the answer to one call asks of this host.
type pushbackListener struct {
	gateway *Gateway
	server  string
	// backoff is set by an answer that turns the call away and asks to back off.
	backoff atomic.Bool
}

// hear is for wheelgauge.Call.
func (l *pushbackListener) hear(status int, values func(name string) [][]byte) {
	g, now := l.gateway, l.gateway.clock.Now()
	leaving, ok := pushback.ParseLeaving(values(wheelgauge.HeaderLeaving))
	if !ok {
		g.meter.Count("servers.leaving.unreadable")
	}
	if leaving && g.pushbacks.leave(l.server, now) {
		g.meter.Count("servers.leaving")
		g.o.Log.Info("A server says that it leaves.", "server", l.server, "status", status)
	}
	if status != http.StatusServiceUnavailable {
		return
	}
	after := slices.Clone(values(fasthttp.HeaderRetryAfter))
	wait, ok := pushback.ParseRetryAfter(after, values(fasthttp.HeaderDate))
	switch {
	case !ok && len(after) > 0:
		g.meter.Count("servers.backoffs.unreadable")
	case ok && wait > 0:
		l.backoff.Store(true)
		g.meter.Count("servers.backoffs")
		g.aside.Worked(l.server) // when it takes work again it has said itself
		if g.pushbacks.backOff(l.server, wait, now) {
			g.o.Log.Info("A server asks to back off.", "server", l.server, "backoff_ms", wait.Milliseconds())
		}
	}
}

// backoffEnds returns after which time the first server of this region takes a request, where
// all that might take it have asked to back off; ok is false otherwise.
func (g *Gateway) backoffEnds(rq *request) (after time.Duration, ok bool) {
	f := fields.Get().(*field)
	defer fields.Put(f)
	g.survey(f, rq.catalog, rq.route, rq.model, nil)
	return f.backoff, f.slots == 0 && f.backoff > 0 && !f.barred
}

func backoffError(rq *request, region string, after time.Duration) error {
	return wheelgauge.NewError(wheelgauge.ReasonBackoff, wheelgauge.OutcomeNotRun, http.StatusServiceUnavailable,
		"all backend servers of "+rq.route.Name+" in "+region+" have asked to back off").WithRetryAfter(after)
}
