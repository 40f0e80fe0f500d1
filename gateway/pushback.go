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

// pushbackTable holds what servers have asked of this host, by server name; old paths are keyed
// by address.
type pushbackTable struct {
	mu   sync.Mutex
	rows map[string]*pushbackRow
	// nonEmpty is set while there are rows, so that lookup can skip the lock.
	nonEmpty atomic.Bool
}

// pushbackRow is the pushback state of one server.
type pushbackRow struct {
	pushback.State
	// reportedLeaving is set once the server's load reports also say that it is leaving.
	reportedLeaving bool
}

// rowFor returns the row of a server, creating it if needed. The caller holds the lock.
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

// lookup returns a server's pushback state and clears what no longer applies. Instances of a
// server have no names of their own here, so a restart is inferred from its membership state.
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
	if !state.RecoveredAt.IsZero() {
		row.Returned(state.RecoveredAt)
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
	if row.Expired(now) {
		delete(t.rows, server)
		t.nonEmpty.Store(len(t.rows) > 0)
	}
	return row.State
}

// pushbackListener reads the pushback headers of the answer to one call.
type pushbackListener struct {
	gateway *Gateway
	server  string
	// backoff is set by an answer that rejects the call and asks to back off.
	backoff atomic.Bool
}

// observe reads the status and headers of an answer; it is a callback for wheelgauge.Call.
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
		g.breakers.Succeeded(l.server) // the server has said itself when it takes work again
		if g.pushbacks.backOff(l.server, wait, now) {
			g.options.Log.Info("A server asks to back off.", "server", l.server, "backoff_ms", wait.Milliseconds())
		}
	}
}

// backoffLeft returns when the first server of this region takes requests again, if all that
// could take this one have asked to back off; ok is false otherwise.
func (g *Gateway) backoffLeft(rq *request) (after time.Duration, ok bool) {
	cs := candidateSets.Get().(*candidateSet)
	defer candidateSets.Put(cs)
	g.collectCandidates(cs, rq, nil)
	return cs.backoff, cs.slots == 0 && cs.backoff > 0 && !cs.excluded
}

func backoffError(rq *request, region string, after time.Duration) error {
	return wheelgauge.NewError(wheelgauge.ReasonBackoff, wheelgauge.OutcomeNotRun, http.StatusServiceUnavailable,
		"all backend servers of "+rq.route.Name+" in "+region+" have asked to back off").WithRetryAfter(after)
}
