// Package delivery tells whether the peer of a connection got everything that was written to it. The
// end of a connection ends an answer only if it did: a reset is told once, to the write or to the
// read, and after the write has met it the read sees an end without an error.
package delivery

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"
)

const (
	// firstPause and lastPause are the least and the most time between two looks at a connection.
	// Without progress they double from one to the other.
	firstPause = time.Millisecond
	lastPause  = 512 * time.Millisecond
)

var (
	errReset  = fmt.Errorf("the connection was reset before its peer got all bytes: %w", syscall.ECONNRESET)
	errUnread = fmt.Errorf("the peer ended the connection and reads no further: %w", io.ErrUnexpectedEOF)
)

// Await returns nil once the peer of c, which has ended its side, has acknowledged everything that
// was written. written is closed when the write has ended; nil if it already has. A peer that reads on
// after it has answered is waited for while it makes progress, until the read deadline of c. Connections
// whose state the kernel does not tell are awaited until the write has ended. The caller is the one that
// reads from c.
func Await(c net.Conn, written <-chan struct{}) error {
	if written == nil {
		written = closed
	}
	ended := written
	told := IsTold(c)
	var acked uint64
	for pause := firstPause; pause <= lastPause; pause *= 2 {
		// The end is met again, unless the deadline is over or the connection was closed here.
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			return fmt.Errorf("await delivery: %w", cmp.Or(err, io.ErrUnexpectedEOF))
		}
		whole := isClosed(written)
		s, ok := look(c)
		switch {
		case told && !ok:
			return fmt.Errorf("await delivery: %w", net.ErrClosed)
		case whole && (!told || s.pending == 0):
			return nil
		case s.reset:
			return errReset
		case s.acked > acked:
			acked, pause = s.acked, firstPause
		}
		if whole {
			ended = nil
		}
		timer := time.NewTimer(pause)
		select {
		case <-ended:
		case <-timer.C:
		}
		timer.Stop()
	}
	return errUnread
}

var closed = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
