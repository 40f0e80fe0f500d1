// Package countconn counts the bytes that pass over connections, those of calls
// included that are cut before their end.
package countconn

import "net"

// Conn is a connection that tells of its bytes.
type Conn struct {
	net.Conn
	in, out func(bytes int64)
}

// New counts what is read from c by in, and what is written by out, which must
// be safe for concurrent use.
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
