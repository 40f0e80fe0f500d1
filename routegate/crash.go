package routegate

import (
	"context"
	"errors"
	"io"
	"syscall"

	"wheelgauge"
	"wheelgauge/fingerprint"
	"wheelgauge/quarantine"
	"wheelgauge/serverset"
)

// tellEnds is how many servers must have ended under a request before each is logged:
// some tens are in flight at each, and all but one only stand beside it.
const tellEnds = 2

// asked tells what the request asks, the same for all its tries at all hosts.
func (c *call) asked() wheelgauge.Fingerprint {
	if c.print == "" {
		h := c.request.Header()
		c.print = fingerprint.Of(h.Method(), h.Host(), h.RequestURI(), c.workspaceName(), c.request.Body())
	}
	return c.print
}

// held tells whether the request is held back: it ended all servers that began to run
// it, and would go on to end one after another.
func (c *call) held() bool {
	return c.gate.options.Quarantine.Holds(len(c.request.Body()), c.asked)
}

// hold answers a request that is held back, at once.
func (c *call) hold() {
	c.gate.options.Meter.Count("requests.held")
	fault := quarantine.Refusal()
	if c.runs > 0 || c.request.Begun() {
		c.fail("held back", fault.Detail())
		return
	}
	c.cause = "held back"
	c.refuse(fault)
}

// ranWell notes that the request ran to a good end. A failure says nothing: a server that
// fails part of its requests may have failed this one before it began to run it.
func (c *call) ranWell() { c.gate.options.Quarantine.Ran(len(c.request.Body()), c.asked) }

// inquest notes that the server ended with the request in flight, if it did: a server
// that takes a new connection only broke this one off.
func (c *call) inquest(ctx context.Context, x *exchange, s *serverset.Server) {
	if ctx.Err() != nil || !brokenOff(x.broken) {
		return
	}
	limit, cancel := context.WithTimeout(ctx, quarantine.InquestLimit)
	defer cancel()
	if s.Pool().Open(limit) == nil {
		return
	}
	ends := c.gate.options.Quarantine.Ended(wheelgauge.Crash{Request: c.asked(), Size: len(c.request.Body()), Server: s.Life()})
	c.gate.options.Meter.Count("servers.ended")
	if ends >= tellEnds {
		c.gate.options.Log.Info("A server ended with a request in flight.", "id", c.id, "request", c.asked(), "server", s.Life(), "ends", ends)
	}
}

// brokenOff tells whether the other side closed or reset a connection. A time-out says
// nothing: the request's own deadline, or a link.
func brokenOff(err error) bool {
	for _, broken := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, broken) {
			return true
		}
	}
	return false
}
