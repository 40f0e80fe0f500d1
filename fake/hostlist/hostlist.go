// Package hostlist is a small stand-in for the platform's list of live and
// leaving hosts, which lags behind reality.
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

type line struct {
	hint wheelgauge.HostHint
	at   time.Time
}

// List is a running stand-in.
type List struct {
	lag    time.Duration
	mu     sync.Mutex
	lines  []line
	server *httpserve.Server
}

// Start serves at address; changes show after lag.
func Start(_ context.Context, address string, lag time.Duration) (*List, error) {
	l := &List{lag: lag}
	server, err := httpserve.Listen(address, l.handle, httpserve.Options{})
	if err != nil {
		return nil, fmt.Errorf("start host list: %w", err)
	}
	l.server = server
	return l, nil
}

// Address returns where the list serves.
func (l *List) Address() string { return l.server.Address() }

// Close stops the list.
func (l *List) Close(ctx context.Context) error { return l.server.Close(ctx) }

// Set records what is true of a host from now on.
func (l *List) Set(host string, leaving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, line{wheelgauge.HostHint{Host: host, Leaving: leaving}, time.Now()})
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
	for _, one := range l.lines {
		if time.Since(one.at) >= l.lag {
			latest[one.hint.Host] = one.hint
		}
	}
	out := make([]wheelgauge.HostHint, 0, len(latest))
	for _, h := range latest {
		out = append(out, h)
	}
	return out
}
