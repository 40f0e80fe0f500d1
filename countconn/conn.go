// Package countconn counts the bytes read from and written to connections, including
// those of calls that fail midway.
package countconn

import "net"

// Conn is a connection that reports its bytes.
type Conn struct {
	net.Conn
	in, out func(bytes int64)
}

// New returns a connection that reports the bytes read from c to in, and the bytes
// written to out. Both must be safe for concurrent use.
func New(c net.Conn, in, out func(bytes int64)) *Conn { return &Conn{Conn: c, in: in, out: out} }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out(int64(n))
	return n, err
}
