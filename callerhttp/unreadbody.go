package callerhttp

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge/httpfield"
)

const (
	// maxDroppedBytes is the largest body that is read and dropped to keep the connection of a
	// refused request: 20 ms on a link of 25 Mbit/s, about what a new connection costs.
	maxDroppedBytes = 64 << 10
	// dropTimeout bounds the time for it.
	dropTimeout = time.Second
	// maxLingerBytes and lingerTimeout bound what is read of a larger body after the answer. A
	// connection closed with bytes unread is reset, which can destroy an answer that the caller
	// has not read; within this time the answer crosses a long link, and a caller stops sending.
	maxLingerBytes = 256 << 10
	lingerTimeout  = time.Second
	// unknownRest is the length of a chunked body. Such a body is never dropped to keep the
	// connection, so that no byte of it can be taken for a request.
	unknownRest = -1
)

// bodyRest returns the length of a body none of which was read.
func bodyRest(h *fasthttp.RequestHeader) int {
	switch n := h.ContentLength(); {
	case n >= 0:
		return n
	case n == -1: // chunked
		return unknownRest
	}
	return 0
}

// canDropBody reports whether the connection can be kept without the body being read for the
// request. A caller that waits for 100 Continue may send the body or not after another answer,
// so what follows has no known end. MayContinue does not recognize all spellings of Expect.
func (r *Request) canDropBody() bool {
	return r.unread == 0 || r.unread > 0 && r.unread <= maxDroppedBytes && httpfield.Value(&r.request.Header, "Expect") == nil
}

// dropBody drops a body that was not read. It returns false if the connection must be closed.
func (k *conn) dropBody(r *Request) bool {
	if r.unread == 0 {
		return true
	}
	if r.closeAfter {
		k.linger()
		return false
	}
	_ = k.net.SetReadDeadline(time.Now().Add(dropTimeout))          // fails only on a closed connection
	buffered, _ := k.in.Discard(min(k.in.Buffered(), r.unread))     // cannot fail
	n, err := io.CopyN(io.Discard, k.net, int64(r.unread-buffered)) // past the buffer: reads nothing of the next request
	k.server.droppedBytes.Add(int64(buffered) + n)
	return err == nil
}

// linger ends the sending side and reads on for a while, so that the answer is delivered.
func (k *conn) linger() {
	c, ok := k.net.(interface{ CloseWrite() error })
	if !ok || c.CloseWrite() != nil {
		return
	}
	_ = k.net.SetReadDeadline(time.Now().Add(lingerTimeout)) // fails only on a closed connection
	n, _ := io.CopyN(io.Discard, k.net, maxLingerBytes)      // the connection is closed either way
	k.server.droppedBytes.Add(n)
}
