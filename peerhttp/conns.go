package peerhttp

import (
	"context"
	"net"
	"sync"
)

// openConns are the connections of a client.
type openConns struct {
	// ctx ends when they are closed.
	ctx  context.Context
	stop context.CancelFunc

	mu    sync.Mutex
	conns map[*trackedConn]struct{}
}

// trackedConn is a connection that is in openConns until it is closed.
type trackedConn struct {
	net.Conn
	open *openConns
}

func newOpenConns() *openConns {
	ctx, stop := context.WithCancel(context.Background())
	return &openConns{ctx: ctx, stop: stop, conns: map[*trackedConn]struct{}{}}
}

// track adds a new connection, unless err says that there is none.
func (o *openConns) track(c net.Conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	t := &trackedConn{Conn: c, open: o}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ctx.Err() != nil {
		_ = c.Close() // no byte was sent
		return nil, &dialError{o.ctx.Err()}
	}
	o.conns[t] = struct{}{}
	return t, nil
}

// close closes the connections, and those that are still dialed.
func (o *openConns) close() {
	o.stop()
	o.mu.Lock()
	defer o.mu.Unlock()
	for t := range o.conns {
		_ = t.Conn.Close() // the call on it gets the error
	}
	clear(o.conns)
}

// Close implements net.Conn.
func (t *trackedConn) Close() error {
	t.open.mu.Lock()
	delete(t.open.conns, t)
	t.open.mu.Unlock()
	return t.Conn.Close()
}
