package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"wheelgauge/delivery"
	"wheelgauge/responsehead"
)

// guardBufferBytes is the read buffer's size: the largest answer head that the parser accepts.
const guardBufferBytes = 4 << 10

// guardedConn is a connection that carries one request at a time. It checks each answer head and
// passes on none that is malformed. Reads and writes must not be concurrent.
type guardedConn struct {
	net.Conn
	in *bufio.Reader
	// headLeft is how much of a checked head is still to be read; inBody is set once the
	// final head of the answer was checked, as opposed to that of an informational answer.
	headLeft int
	inBody   bool
}

func newGuardedConn(c net.Conn) *guardedConn {
	return &guardedConn{Conn: c, in: bufio.NewReaderSize(c, guardBufferBytes)}
}

// Write implements net.Conn. It starts a request, so that the next read expects an answer head.
func (g *guardedConn) Write(p []byte) (int, error) {
	g.headLeft, g.inBody = 0, false
	return g.Conn.Write(p)
}

// Read implements net.Conn.
func (g *guardedConn) Read(p []byte) (int, error) {
	if g.inBody && g.headLeft == 0 {
		return g.readBody(p)
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

// readBody reads the body, whose end may be that of the connection. It counts only if the server got the
// whole request by then. The request was written before the head was read, without an error.
func (g *guardedConn) readBody(p []byte) (int, error) {
	n, err := g.in.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if waitErr := delivery.Await(g.Conn, nil); waitErr != nil {
		return n, fmt.Errorf("read answer: %w", waitErr)
	}
	return n, err
}

// checkHead checks the next head without consuming it.
func (g *guardedConn) checkHead() error {
	head, err := responsehead.Peek(g.in)
	if err != nil {
		return err
	}
	if err := responsehead.Check(head); err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	g.headLeft, g.inBody = len(head), responsehead.Status(head) >= http.StatusOK
	return nil
}
