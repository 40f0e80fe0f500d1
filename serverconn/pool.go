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
	// idleNear is how long a connection is kept where the server says nothing of
	// its idle time.
	idleNear = 4 * time.Second
	// idleFar is that to gateways, which close after a minute: opening another
	// one takes a whole round trip between regions.
	idleFar = 30 * time.Second
	// idlePart of an announced idle time is used: the rest is for the way there.
	idlePart = 0.6
)

// Link says how patient connections of a pool are.
type Link struct {
	// Connect bounds a new connection.
	Connect time.Duration
	// Unacknowledged is how long sent bytes may stay unacknowledged.
	Unacknowledged time.Duration
	// Idle is how long a connection may rest where nothing else is announced.
	Idle time.Duration
	// Now is the clock by which connections rest: one that counts suspended time, as the
	// other side closes them meanwhile and its word of it may be lost.
	Now func() time.Time
}

// Near is for servers of the own region, some milliseconds away. A lost opening packet
// is sent again after a second only: whoever waits for that is late, and another
// server takes the request meanwhile.
func Near(now func() time.Time) Link {
	return Link{Connect: 350 * time.Millisecond, Unacknowledged: 3 * time.Second, Idle: idleNear, Now: now}
}

// Far is for other regions, where a link may be cut while others are free:
// three round trips of a long link, and two retransmissions.
func Far(now func() time.Time) Link {
	return Link{Connect: 400 * time.Millisecond, Unacknowledged: 1200 * time.Millisecond, Idle: idleFar, Now: now}
}

// ErrNoConns is returned when a server has as many connections as it may.
var ErrNoConns = errors.New("no connection is free")

// Pool keeps the connections to one address.
type Pool struct {
	address string
	mu      sync.Mutex
	idle    []*Conn
	open    int
	most    int
	closed  bool
	dialed  int
	link    Link
}

// New returns a pool of at most the given number of connections.
func New(address string, most int, link Link) *Pool {
	return &Pool{address: address, most: most, link: link}
}

// SetMost changes how many connections may be open.
func (p *Pool) SetMost(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.most = most
}

// Idle tells whether a connection rests that may be used without opening one.
func (p *Pool) Idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	return n > 0 && p.idle[n-1].rested(p.link.Now())
}

// Resting returns how many connections rest that may be used without opening one.
func (p *Pool) Resting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, c := range p.idle {
		if c.rested(p.link.Now()) {
			n++
		}
	}
	return n
}

// Open opens a connection that rests until it is used.
func (p *Pool) Open(ctx context.Context) error {
	p.mu.Lock()
	if p.closed || p.open >= p.most {
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
	c.idle, c.life = p.link.Now(), p.link.Idle
	p.rest(c)
	return nil
}

// rest keeps a connection for later, unless the pool is closed.
func (p *Pool) rest(c *Conn) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		p.drop(c)
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// Get returns an idle connection on which nothing has come, or a new one.
func (p *Pool) Get(ctx context.Context) (*Conn, error) {
	for {
		c, err := p.take()
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx)
		}
		if c.rested(p.link.Now()) && c.clean() {
			return c, nil
		}
		p.drop(c)
	}
}

// take returns the connection used last, or nil if a new one may be opened.
func (p *Pool) take() (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c, nil
	}
	if p.closed || p.open >= p.most {
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

func (p *Pool) drop(c *Conn) {
	_ = c.net.Close() // nothing is awaited on it
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// Return takes a connection back on which nothing was sent since Get.
func (p *Pool) Return(c *Conn) {
	if c.Aborted() {
		p.drop(c)
		return
	}
	if c.life == 0 {
		c.idle, c.life = p.link.Now(), p.link.Idle
	}
	p.rest(c)
}

// Put takes a connection back after an answer; h is the answer's head, nil if
// there was none. The connection is closed unless its next answer is certain
// to be its own.
func (p *Pool) Put(c *Conn, h *fasthttp.ResponseHeader, b *Body) {
	if h == nil || !b.done || !c.sent() || c.Aborted() || !c.reusable || c.in.Buffered() > 0 {
		p.drop(c)
		return
	}
	c.idle, c.life = p.link.Now(), idleLife(string(httpfield.Value(h, "Keep-Alive")), p.link.Idle)
	if c.life <= 0 {
		p.drop(c)
		return
	}
	p.rest(c)
}

// Prune closes connections that were idle for too long.
func (p *Pool) Prune() {
	p.mu.Lock()
	var old, keep []*Conn
	for _, c := range p.idle {
		if c.rested(p.link.Now()) {
			keep = append(keep, c)
			continue
		}
		old = append(old, c)
	}
	p.idle = keep
	p.mu.Unlock()
	for _, c := range old {
		p.drop(c)
	}
}

// Dialed returns the number of connections ever opened.
func (p *Pool) Dialed() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// Close closes idle connections; those in use end with their request.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		p.drop(c)
	}
}
