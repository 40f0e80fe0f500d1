package upstream

import (
	"bufio"
	"fmt"
	"net"
	"net/http"

	"wheelgauge/answerhead"
)

// guardBufferBytes holds the largest head of an answer that the parser takes.
const guardBufferBytes = 4 << 10

// guardedConn is a connection that carries one request at a time and gives its reader no answer
// with a foreign head. It is not for concurrent reads and writes.
type guardedConn struct {
	net.Conn
	in *bufio.Reader
	// left is how much of a head that was looked at is still to be read; body is set once the
	// head was that of the answer itself.
	headLeft int
	inBody bool
}

func newGuardedConn(c net.Conn) *guardedConn {
	return &guardedConn{Conn: c, in: bufio.NewReaderSize(c, guardBufferBytes)}
}

// Write implements net.Conn: after it another answer is due.
func (g *guardedConn) Write(p []byte) (int, error) {
	g.headLeft, g.inBody = 0, false
	return g.Conn.Write(p)
}

// Read implements net.Conn.
func (g *guardedConn) Read(p []byte) (int, error) {
	if g.inBody && g.headLeft == 0 {
		return g.in.Read(p)
	}
	if g.headLeft == 0 {
		if err := g.checkHead(); err != nil {
			return 0, err
		}
	}
	n, err := g.in.Read(p[:min(len(p), g.headLeft)])
	g.headLeft -= n
	return n, err
}

// checkHead checks the next head.
func (g *guardedConn) checkHead() error {
	head, err := answerhead.Peek(g.in)
	if err != nil {
		return err
	}
	if err := answerhead.Check(head); err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	g.headLeft, g.inBody = len(head), answerhead.Status(head) >= http.StatusOK
	return nil
}
