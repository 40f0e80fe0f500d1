package upstream

import (
	"bufio"
	"fmt"
	"net"
	"net/http"

	"wheelgauge/answerhead"
)

// guardBuffer holds the largest head of an answer that the parser takes.
const guardBuffer = 4 << 10

// guard is a connection that carries one request at a time and gives its reader no answer
// with a foreign head. It is not for concurrent reads and writes.
type guard struct {
	net.Conn
	in *bufio.Reader
	// left is how much of a head that was looked at is still to be read; body is set once the
	// head was that of the answer itself.
	left int
	body bool
}

func guarded(c net.Conn) *guard {
	return &guard{Conn: c, in: bufio.NewReaderSize(c, guardBuffer)}
}

// Write implements net.Conn: after it another answer is due.
func (g *guard) Write(p []byte) (int, error) {
	g.left, g.body = 0, false
	return g.Conn.Write(p)
}

// Read implements net.Conn.
func (g *guard) Read(p []byte) (int, error) {
	if g.body && g.left == 0 {
		return g.in.Read(p)
	}
	if g.left == 0 {
		if err := g.look(); err != nil {
			return 0, err
		}
	}
	n, err := g.in.Read(p[:min(len(p), g.left)])
	g.left -= n
	return n, err
}

// look checks the next head.
func (g *guard) look() error {
	head, err := answerhead.Peek(g.in)
	if err != nil {
		return err
	}
	if err := answerhead.Check(head); err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	g.left, g.body = len(head), answerhead.Status(head) >= http.StatusOK
	return nil
}
