package callerhttp

import (
	"errors"
	"net"

	"wheelgauge/bodybudget"
)

var errNoMemory = errors.New("no memory left for bodies")

// bodyReader reads from a connection, and takes what a body needs from the budget: all of it
// before it is read if its length is known, else as it arrives.
type bodyReader struct {
	net    net.Conn
	budget *bodybudget.Budget
	held   int64
	// counting is set while a body of unknown length is read, exhausted once the budget refused.
	counting, exhausted bool
}

// reserve prepares for a body of a length or unknownRest. It returns false if there is no memory.
func (b *bodyReader) reserve(length int) bool {
	b.counting, b.exhausted = length == unknownRest, false
	if b.counting {
		return true
	}
	return b.take(int64(length))
}

// reserveRead takes what a body of a length that was read needs beyond what it took as it arrived:
// its first bytes came with the header.
func (b *bodyReader) reserveRead(length int) bool {
	b.counting = false
	return b.take(max(0, int64(length)-b.held))
}

func (b *bodyReader) take(n int64) bool {
	if !b.budget.Reserve(n) {
		return false
	}
	b.held += n
	return true
}

// release gives back what the body took.
func (b *bodyReader) release() {
	b.budget.Release(b.held)
	b.held, b.counting = 0, false
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.net.Read(p)
	if b.counting && n > 0 && !b.take(int64(n)) {
		b.exhausted = true
		return 0, errNoMemory
	}
	return n, err
}
