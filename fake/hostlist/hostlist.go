// Package hostlist is a fake of the platform's list of live and leaving hosts, which shows
// changes only after a delay.
package hostlist

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/httpserve"
	"wheelgauge/peerhttp"
)

type change struct {
	entry wheelgauge.HostHint
	at    time.Time
}

// List is a running fake host list.
type List struct {
	lag     time.Duration
	mu      sync.Mutex
	changes []change
	server  *httpserve.Server
}

// Start serves the list at address; changes are visible after lag.
func Start(_ context.Context, address string, lag time.Duration) (*List, error) {
	l := &List{lag: lag}
	server, err := httpserve.Listen(address, l.handle, httpserve.Options{})
	if err != nil {
		return nil, fmt.Errorf("start host list: %w", err)
	}
	l.server = server
	return l, nil
}

// Address returns the address that the list listens at.
func (l *List) Address() string { return l.server.Address() }

// Close stops the list.
func (l *List) Close(ctx context.Context) error { return l.server.Close(ctx) }

// Set records the state of a host from now on.
func (l *List) Set(host string, leaving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, change{wheelgauge.HostHint{Host: host, Leaving: leaving}, time.Now()})
}

func (l *List) handle(ctx *fasthttp.RequestCtx) {
	if ctx.IsPut() {
		l.Set(strings.TrimPrefix(string(ctx.Path()), "/hosts/"), ctx.QueryArgs().GetBool("leaving"))
		return
	}
	peerhttp.Answer(ctx, l.hosts())
}

func (l *List) hosts() []wheelgauge.HostHint {
	l.mu.Lock()
	defer l.mu.Unlock()
	latest := map[string]wheelgauge.HostHint{}
	for _, c := range l.changes {
		if time.Since(c.at) >= l.lag {
			latest[c.entry.Host] = c.entry
		}
	}
	out := make([]wheelgauge.HostHint, 0, len(latest))
	for _, h := range latest {
		out = append(out, h)
	}
	return out
}
