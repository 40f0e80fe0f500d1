package serverconn

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge/httpfield"
)

const (
	// nearIdleTimeout applies to servers that announce no idle timeout.
	nearIdleTimeout = 4 * time.Second
	// farIdleTimeout applies to gateways of other regions, which close idle connections
	// after a minute. It is longer as a new connection costs a round trip between regions.
	farIdleTimeout = 30 * time.Second
	// idleTimeoutShare is the part of an announced idle timeout that is used; the rest
	// allows for the network latency to the server.
	idleTimeoutShare = 0.6
)

// Link holds the timeouts of a pool's connections.
type Link struct {
	// ConnectTimeout bounds the opening of a connection.
	ConnectTimeout time.Duration
	// UserTimeout is how long the other machine may leave bytes and probes unacknowledged. One that
	// acknowledges them, and only reads or answers slowly, is waited for.
	UserTimeout time.Duration
	// IdleTimeout is how long a connection may stay idle if the server announces no timeout.
	IdleTimeout time.Duration
	// Now is the clock for idle times. It must count suspended time: the other side closes
	// connections during suspension, and the packet that says so may be lost.
	Now func() time.Time
}

// SameRegion returns the timeouts for servers of the same region, a few milliseconds away. A lost
// SYN is only sent again after a second, so the connect times out earlier and the request
// goes to another server.
func SameRegion(now func() time.Time) Link {
	return Link{ConnectTimeout: 350 * time.Millisecond, UserTimeout: 3 * time.Second, IdleTimeout: nearIdleTimeout, Now: now}
}

// CrossRegion returns the timeouts for other regions, where one link may be cut while others
// work: three round trips of a long link to connect, two retransmissions for sent bytes.
func CrossRegion(now func() time.Time) Link {
	return Link{ConnectTimeout: 400 * time.Millisecond, UserTimeout: 1200 * time.Millisecond, IdleTimeout: farIdleTimeout, Now: now}
}

// ErrNoConns is returned when a server has its maximum number of connections.
var ErrNoConns = errors.New("no connection is free")

// Pool holds the connections to one address.
type Pool struct {
	address  string
	mu       sync.Mutex
	idle     []*Conn
	open     int
	maxConns int
	closed   bool
	dialed   int
	link     Link
}

// New returns a pool of at most maxConns connections.
func New(address string, maxConns int, link Link) *Pool {
	return &Pool{address: address, maxConns: maxConns, link: link}
}

// SetMaxConns changes the maximum number of connections.
func (p *Pool) SetMaxConns(maxConns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConns = maxConns
}

// HasIdle reports whether an idle connection can be used.
func (p *Pool) HasIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	return n > 0 && p.idle[n-1].isFresh(p.link.Now())
}

// IdleCount returns the number of idle connections that can be used.
func (p *Pool) IdleCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, c := range p.idle {
		if c.isFresh(p.link.Now()) {
			n++
		}
	}
	return n
}

// OpenCount returns the number of open connections.
func (p *Pool) OpenCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// OpenIdle opens a connection and keeps it idle until it is used.
func (p *Pool) OpenIdle(ctx context.Context) error {
	p.mu.Lock()
	if p.closed || p.open >= p.maxConns {
		p.mu.Unlock()
		return ErrNoConns
	}
	p.open++
	p.dialed++
	p.mu.Unlock()
	c, err := p.dial(ctx)
	if err != nil {
		return err
	}
	c.idleSince, c.idleTimeout = p.link.Now(), p.link.IdleTimeout
	p.putIdle(c)
	return nil
}

// putIdle adds a connection to the idle ones, or closes it if the pool is closed.
func (p *Pool) putIdle(c *Conn) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		p.closeConn(c)
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// Get returns an idle connection without unread data, or a new one.
func (p *Pool) Get(ctx context.Context) (*Conn, error) {
	for {
		c, err := p.take()
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx)
		}
		if c.isFresh(p.link.Now()) && c.isQuiet() {
			return c, nil
		}
		p.closeConn(c)
	}
}

// take returns the idle connection used last. Without one it counts a new connection,
// which the caller opens, and returns nil.
func (p *Pool) take() (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c, nil
	}
	if p.closed || p.open >= p.maxConns {
		return nil, ErrNoConns
	}
	p.open++
	p.dialed++
	return nil, nil
}

func (p *Pool) dial(ctx context.Context) (*Conn, error) {
	c, err := dial(ctx, p.address, p.link)
	if err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.open--
		return nil, err
	}
	return c, nil
}

func (p *Pool) closeConn(c *Conn) {
	c.watch.stop()
	_ = c.net.Close() // no request is pending on it
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// PutUnused puts back a connection on which nothing was sent since Get.
func (p *Pool) PutUnused(c *Conn) {
	if c.Aborted() {
		p.closeConn(c)
		return
	}
	if c.idleTimeout == 0 {
		c.idleSince, c.idleTimeout = p.link.Now(), p.link.IdleTimeout
	}
	p.putIdle(c)
}

// Put puts back a connection after a response; h is the response's head, nil if
// there was none. The connection is closed unless the next response on it is
// certain to belong to the next request.
func (p *Pool) Put(c *Conn, h *fasthttp.ResponseHeader, b *Body) {
	c.watch.stop()
	if h == nil || c.watch.isLost() || !b.done || !c.sent() || c.Aborted() || !c.reusable || c.in.Buffered() > 0 {
		p.closeConn(c)
		return
	}
	c.idleSince, c.idleTimeout = p.link.Now(), parseIdleTimeout(string(httpfield.Value(h, "Keep-Alive")), p.link.IdleTimeout)
	if c.idleTimeout <= 0 {
		p.closeConn(c)
		return
	}
	p.putIdle(c)
}

// Prune closes connections that exceed their idle timeout, and those on which bytes have arrived:
// the next response would not be that of the next request, and a server may send without end.
func (p *Pool) Prune() {
	p.mu.Lock()
	var expired, keep []*Conn
	for _, c := range p.idle {
		if c.isFresh(p.link.Now()) && c.isQuiet() {
			keep = append(keep, c)
			continue
		}
		expired = append(expired, c)
	}
	p.idle = keep
	p.mu.Unlock()
	for _, c := range expired {
		p.closeConn(c)
	}
}

// Dialed returns the number of connections ever opened.
func (p *Pool) Dialed() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// Close closes idle connections; those in use are closed after their request.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		p.closeConn(c)
	}
}
