// Package originclient is the entry host's client for what began streams. While a service has
// several versions, it tells a store of the region, which outlives the host, and it asks stores for
// streams that other hosts began.
package originclient

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
	"wheelgauge/meter"
	"wheelgauge/streamorigin"
)

// Path is the HTTP path of stores that hold what began streams.
const Path = "/v1/streams"

const (
	// capacity bounds the streams that a host remembers itself: 25 s of 300 a second.
	capacity = 8192
	// maxBatch bounds the streams of one message, maxPending those that wait to be sent.
	maxBatch   = 256
	maxPending = 4096
	// sendTimeout bounds one message; after a failure, the next one waits for retryDelay.
	sendTimeout = 400 * time.Millisecond
	retryDelay  = 100 * time.Millisecond
	// nearTimeout bounds a question to the stores of the region, farTimeout one to all others:
	// they connect and answer over a long link.
	nearTimeout = 150 * time.Millisecond
	farTimeout  = 400 * time.Millisecond
)

// Options are the options of New.
type Options struct {
	// Stores returns the reachable stores in order of preference.
	Stores func() []wheelgauge.StoreEndpoint
	// Sole returns the version of a service if it has had no other one for a time.
	Sole func(service string, within time.Duration) (version string, ok bool)
	// Request sends a message to a store.
	Request func(ctx context.Context, address string, req wheelgauge.StreamOriginsRequest) (wheelgauge.StreamOriginsResponse, error)
	Now     func() time.Time
	Meter   *meter.Meter
	Log     logr.Logger
}

// Client implements wheelgauge.StreamOrigins. It is safe for concurrent use.
type Client struct {
	options Options
	own     *streamorigin.Table
	ctx     context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup

	mu sync.Mutex
	// shared are the services whose streams the store is told of.
	shared  map[string]bool
	pending []wheelgauge.StreamOrigin
	sending bool
	retryAt time.Time
	// store is the one that was told last, boot identifies its start: another one, or one that
	// has restarted, holds nothing.
	store string
	boot  uint64
}

// New returns a client that knows of no stream.
func New(o Options) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{options: o, own: streamorigin.New(capacity, o.Now), ctx: ctx, cancel: cancel, shared: map[string]bool{}}
}

// Close ends the messages in progress and waits for them.
func (c *Client) Close() {
	c.mu.Lock()
	c.cancel()
	c.mu.Unlock()
	c.group.Wait()
}

// Record implements wheelgauge.StreamOrigins. The store is told at once, as the host may end at any
// moment; what is recorded while a message is under way goes with the next one. While the route has
// only one service and that only one version, these say what began a stream.
func (c *Client) Record(o wheelgauge.StreamOrigin, implied bool) {
	c.own.Add(o)
	sole, ok := c.options.Sole(o.Service, o.TTL())
	c.mu.Lock()
	defer c.mu.Unlock()
	one := ok && sole == o.Version
	switch {
	case one && implied:
		c.shared[o.Service] = false
	case one || c.shared[o.Service]:
		c.enqueue(o)
	default:
		c.share(o.Service)
	}
}

// share tells the store of all streams of a service that are held; the lock is held.
func (c *Client) share(service string) {
	c.shared[service] = true
	n := 0
	for _, o := range c.own.All() {
		if o.Service == service {
			c.enqueue(o)
			n++
		}
	}
	c.options.Log.Info("A store is told what began the streams of a service that may have several versions.", "service", service, "streams", n)
}

// enqueue adds an origin to what is sent; the lock is held.
func (c *Client) enqueue(o wheelgauge.StreamOrigin) {
	if len(c.pending) >= maxPending {
		c.pending = c.pending[1:]
		c.options.Meter.Count("streams.origins.unsent")
	}
	c.pending = append(c.pending, o)
	c.startSend()
}

// startSend begins to send what is pending, unless that is in progress; the lock is held.
func (c *Client) startSend() {
	if c.sending || len(c.pending) == 0 || c.ctx.Err() != nil || c.options.Now().Before(c.retryAt) {
		return
	}
	c.sending = true
	c.group.Add(1)
	go func() {
		defer c.group.Done()
		for c.sendBatch() {
		}
	}()
}

// sendBatch sends one message to the preferred store, or to the next one if that does not answer,
// and reports whether another one is to follow.
func (c *Client) sendBatch() bool {
	c.mu.Lock()
	n := min(maxBatch, len(c.pending))
	batch := c.pending[:n:n]
	c.pending = c.pending[n:]
	c.mu.Unlock()
	for _, s := range c.options.Stores() {
		ctx, cancel := context.WithTimeout(c.ctx, sendTimeout)
		resp, err := c.options.Request(ctx, s.Address, wheelgauge.StreamOriginsRequest{Origins: batch})
		cancel()
		if err == nil {
			return c.sent(s.Address, resp.StoreBoot)
		}
		c.options.Meter.Count("streams.origins.send_failed")
		if c.ctx.Err() != nil {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = append(batch, c.pending...)
	c.pending = c.pending[max(0, len(c.pending)-maxPending):]
	c.retryAt, c.sending = c.options.Now().Add(retryDelay), false
	return false
}

// sent records the store that took a message, and reports whether another one is to follow. A store
// that holds nothing yet is told of all streams that are shared.
func (c *Client) sent(store string, boot uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.store != store || c.boot != boot {
		known := c.store != ""
		c.store, c.boot = store, boot
		if known {
			c.pending = append(c.pending, c.sharedOrigins()...)
			c.options.Log.Info("A store is told anew what began streams.", "store", store, "streams", len(c.pending))
		}
	}
	c.sending = len(c.pending) > 0
	return c.sending
}

// sharedOrigins returns what is held of services that are shared; the lock is held.
func (c *Client) sharedOrigins() []wheelgauge.StreamOrigin {
	var out []wheelgauge.StreamOrigin
	for _, o := range c.own.All() {
		if c.shared[o.Service] {
			out = append(out, o)
		}
	}
	return out
}

// Tick shares the streams of services that have got a further version, sends again what no store
// took, and forgets what has expired.
func (c *Client) Tick() {
	c.own.Prune()
	c.mu.Lock()
	defer c.mu.Unlock()
	for service := range c.own.Services() {
		if _, ok := c.options.Sole(service, 0); !ok && !c.shared[service] {
			c.share(service)
		}
	}
	c.startSend()
}

// Known returns the number of streams whose origin this host holds.
func (c *Client) Known() int { return c.own.Len() }

// Find implements wheelgauge.StreamOrigins: it asks the stores of the region, then all others, as
// the caller may have come from another region. A store that knows of several versions overrules
// those that do not.
func (c *Client) Find(ctx context.Context, q wheelgauge.StreamQuery) (o wheelgauge.StreamOrigin, ok, several bool) {
	if o, ok = c.own.Find(q.Key); ok {
		return o, true, false
	}
	var near, far []string
	for _, s := range c.options.Stores() {
		if s.SameRegion {
			near = append(near, s.Address)
			continue
		}
		far = append(far, s.Address)
	}
	answer := c.ask(ctx, near, q, nearTimeout)
	if answer.Found == nil && (answer.Sole == nil || answer.Several) {
		before := answer
		answer = c.ask(ctx, far, q, farTimeout)
		answer.Several, answer.Outdated = answer.Several || before.Several, answer.Outdated || before.Outdated
	}
	switch {
	case answer.Found != nil:
		c.own.Add(*answer.Found)
		return *answer.Found, true, false
	case answer.Sole != nil && !answer.Several:
		return wheelgauge.StreamOrigin{Key: q.Key, Service: q.Service, Version: *answer.Sole}, true, false
	}
	c.options.Log.Info("It is not known what began a stream.", "stream", q.Key, "service", q.Service, "stores_region", len(near), "stores_elsewhere", len(far), "several", answer.Several, "outdated", answer.Outdated)
	return o, false, answer.Several || answer.Outdated
}

// ask asks stores at the same time. It returns the first origin found, and only if no store that
// answers has one, what they say of sole versions; two that differ are several.
func (c *Client) ask(ctx context.Context, addresses []string, q wheelgauge.StreamQuery, timeout time.Duration) (out wheelgauge.StreamOriginsResponse) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answers := make(chan wheelgauge.StreamOriginsResponse, len(addresses))
	for _, address := range addresses {
		c.group.Add(1)
		go func() {
			defer c.group.Done()
			resp, err := c.options.Request(ctx, address, wheelgauge.StreamOriginsRequest{Query: &q})
			if err != nil {
				c.options.Meter.Count("streams.origins.find_failed")
				resp = wheelgauge.StreamOriginsResponse{}
			}
			answers <- resp
		}()
	}
	for range addresses {
		resp := <-answers
		if resp.Found != nil && resp.Found.Key == q.Key {
			return wheelgauge.StreamOriginsResponse{Found: resp.Found}
		}
		out.Several = out.Several || resp.Several || resp.Sole != nil && out.Sole != nil && *resp.Sole != *out.Sole
		out.Outdated = out.Outdated || resp.Outdated
		if resp.Sole != nil {
			out.Sole = resp.Sole
		}
	}
	return out
}
