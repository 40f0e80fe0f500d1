// Package connclose decides what the peer of a connection sees when it is closed.
package connclose

import (
	"crypto/tls"
	"net"
)

// ResetOnClose sets whether closing a connection resets it, also if the process is killed. The
// receiver of an answer that ends with its connection can only tell a break from the end by a
// reset. It has no effect on connections that are not TCP.
func ResetOnClose(c net.Conn, reset bool) {
	t, ok := transport(c).(interface{ SetLinger(sec int) error })
	if !ok {
		return
	}
	linger := -1 // close sends what is left, then ends the connection
	if reset {
		linger = 0
	}
	_ = t.SetLinger(linger) // fails only on a closed connection
}

// Reset closes a connection so that its peer sees a break. TLS is not ended, as that would mark the
// end of what was sent.
func Reset(c net.Conn) {
	ResetOnClose(c, true)
	_ = transport(c).Close() // it is closed already if that fails
}

// transport returns the connection below fasthttp's wrapper and TLS.
func transport(c net.Conn) net.Conn {
	if u, ok := c.(interface{ UnsafeConn() net.Conn }); ok {
		c = u.UnsafeConn()
	}
	if t, ok := c.(*tls.Conn); ok {
		return t.NetConn()
	}
	return c
}
