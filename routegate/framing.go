package routegate

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge/callerhttp"
	"wheelgauge/httpfield"
	"wheelgauge/quarantine"
	"wheelgauge/serverconn"
)

// unframedMemory is how long after an unframed stream of a service its other streams start
// without a framing: longer than most streams run.
const unframedMemory = time.Minute

// unframedServices remembers which services answered without marking the end. It is safe for
// concurrent use.
type unframedServices struct {
	mu   sync.Mutex
	seen map[string]time.Time
}

func (u *unframedServices) add(service string, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.seen == nil {
		u.seen = map[string]time.Time{}
	}
	u.seen[service] = now
}

func (u *unframedServices) has(service string, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	at, ok := u.seen[service]
	return ok && now.Sub(at) < unframedMemory
}

// recordFraming records how the end of an answer is marked.
func (c *call) recordFraming(x *exchange) {
	c.framing, c.partialBytes = x.body.Framing(), 0
	if c.framing == serverconn.Unframed {
		c.gate.options.Meter.Count("answers.unframed")
		c.gate.unframed.add(c.service, c.gate.options.Clock.Now())
	}
}

// recordPartial records that a stream ended after a part of an event.
func (c *call) recordPartial(rest []byte) {
	c.partialBytes = len(rest)
	if len(rest) > 0 {
		c.gate.options.Meter.Count("answers.ended_inside_event")
	}
}

// bufferedLength returns the length of an answer that was read to its end, n bytes of it.
func (x *exchange) bufferedLength(n int) int {
	if x.body.HasBody() {
		return x.lengthOrOpen(n)
	}
	return max(callerhttp.UnknownLength, x.head.ContentLength())
}

// lengthOrOpen returns the length for the caller, UnknownEnd if the answer ends with its connection.
func (x *exchange) lengthOrOpen(length int) int {
	if x.body.Framing() == serverconn.Unframed {
		return callerhttp.UnknownEnd
	}
	return max(callerhttp.UnknownLength, length)
}

// streamLength is the length of a stream for the caller. A stream that may be resumed at a server
// which does not mark its end must not promise one by then.
func (c *call) streamLength(x *exchange) int {
	if c.route.Resumable && c.gate.unframed.has(c.service, c.gate.options.Clock.Now()) {
		return callerhttp.UnknownEnd
	}
	return x.lengthOrOpen(callerhttp.UnknownLength)
}

// endedByCrash reports whether an answer that ended with its connection did so because its server
// crashed. The new connection is kept for the next request.
func (x *exchange) endedByCrash(ctx context.Context) bool {
	if x.pick == nil || x.body.Framing() != serverconn.Unframed {
		return false
	}
	limit, cancel := context.WithTimeout(ctx, quarantine.ProbeTimeout)
	defer cancel()
	return errors.Is(x.pool.OpenIdle(limit), syscall.ECONNREFUSED)
}

// isEventStream reports whether an answer consists of events; true if it does not say.
func isEventStream(h *fasthttp.ResponseHeader) bool {
	kind := httpfield.Value(h, fasthttp.HeaderContentType)
	return len(kind) == 0 || bytes.HasPrefix(bytes.ToLower(kind), []byte("text/event-stream"))
}
