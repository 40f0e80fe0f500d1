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

// pushbackTable are what servers ask of this host, by name; those of old paths by address.
type pushbackTable struct {
	mu   sync.Mutex
	rows map[string]*pushbackRow
	// some is set while there are rows.
	nonEmpty atomic.Bool
}

// pushbackRow is what one server asks.
type pushbackRow struct {
	pushback.State
	// reported is set once its load reports say too that it leaves.
	reportedLeaving bool
}

// rowFor returns the row of a server; the lock is held.
func (t *pushbackTable) rowFor(server string) *pushbackRow {
	if t.rows == nil {
		t.rows = map[string]*pushbackRow{}
	}
	if t.rows[server] == nil {
		t.rows[server] = &pushbackRow{}
		t.nonEmpty.Store(true)
	}
	return t.rows[server]
}

func (t *pushbackTable) backOff(server string, wait time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rowFor(server).BackOff(now, wait)
}

func (t *pushbackTable) leave(server string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rowFor(server).Leave(now)
}

// lookup returns what a server asks, by what is known of it otherwise: it has no name for each
// of its starts.
func (t *pushbackTable) lookup(server string, state membership.ServerState, now time.Time) pushback.State {
	if !t.nonEmpty.Load() {
		return pushback.State{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[server]
	if row == nil {
		return pushback.State{}
	}
	if !state.Since.IsZero() {
		row.Returned(state.Since)
	}
	switch {
	case state.Leaving:
		row.reportedLeaving = true
	case row.reportedLeaving:
		row.Returned(now)
		row.reportedLeaving = false
	default:
		row.Listed(now)
	}
	if row.Over(now) {
		delete(t.rows, server)
		t.nonEmpty.Store(len(t.rows) > 0)
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

// observe is for wheelgauge.Call.
func (l *pushbackListener) observe(status int, values func(name string) [][]byte) {
	g, now := l.gateway, l.gateway.clock.Now()
	leaving, ok := pushback.ParseLeaving(values(wheelgauge.HeaderLeaving))
	if !ok {
		g.meter.Count("servers.leaving.unreadable")
	}
	if leaving && g.pushbacks.leave(l.server, now) {
		g.meter.Count("servers.leaving")
		g.options.Log.Info("A server says that it leaves.", "server", l.server, "status", status)
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
		g.setAside.Worked(l.server) // when it takes work again it has said itself
		if g.pushbacks.backOff(l.server, wait, now) {
			g.options.Log.Info("A server asks to back off.", "server", l.server, "backoff_ms", wait.Milliseconds())
		}
	}
}

// backoffLeft returns after which time the first server of this region takes a request, where
// all that might take it have asked to back off; ok is false otherwise.
func (g *Gateway) backoffLeft(rq *request) (after time.Duration, ok bool) {
	cs := candidateSets.Get().(*candidateSet)
	defer candidateSets.Put(cs)
	g.collectCandidates(cs, rq.catalog, rq.route, rq.model, nil)
	return cs.backoff, cs.slots == 0 && cs.backoff > 0 && !cs.excluded
}

func backoffError(rq *request, region string, after time.Duration) error {
	return wheelgauge.NewError(wheelgauge.ReasonBackoff, wheelgauge.OutcomeNotRun, http.StatusServiceUnavailable,
		"all backend servers of "+rq.route.Name+" in "+region+" have asked to back off").WithRetryAfter(after)
}
