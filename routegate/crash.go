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

// minLoggedCrashes is how many servers must have ended under a request before each is logged:
// some tens are in flight at each, and all but one only stand beside it.
const minLoggedCrashes = 2

// fingerprint tells what the request asks, the same for all its tries at all hosts.
func (c *call) fingerprint() wheelgauge.Fingerprint {
	if c.cachedFingerprint == "" {
		h := c.request.Header()
		c.cachedFingerprint = fingerprint.Of(h.Method(), h.Host(), h.RequestURI(), c.workspaceName(), c.request.Body())
	}
	return c.cachedFingerprint
}

// quarantined tells whether the request is held back: it ended all servers that began to run
// it, and would go on to end one after another.
func (c *call) quarantined() bool {
	return c.gate.options.Quarantine.Holds(len(c.request.Body()), c.fingerprint)
}

// refuseQuarantined answers a request that is held back, at once.
func (c *call) refuseQuarantined() {
	c.gate.options.Meter.Count("requests.held")
	apiErr := quarantine.Refusal()
	if c.runs > 0 || c.request.Begun() {
		c.fail("held back", apiErr.Detail())
		return
	}
	c.cause = "held back"
	c.refuse(apiErr)
}

// recordSuccess notes that the request ran to a good end. A failure says nothing: a server that
// fails part of its requests may have failed this one before it began to run it.
func (c *call) recordSuccess() { c.gate.options.Quarantine.Ran(len(c.request.Body()), c.fingerprint) }

// attributeCrash notes that the server ended with the request in flight, if it did: a server
// that takes a new connection only broke this one off.
func (c *call) attributeCrash(ctx context.Context, x *exchange, s *serverset.Server) {
	if ctx.Err() != nil || !closedByServer(x.err) {
		return
	}
	limit, cancel := context.WithTimeout(ctx, quarantine.InquestLimit)
	defer cancel()
	if s.Pool().Open(limit) == nil {
		return
	}
	crashes := c.gate.options.Quarantine.Ended(wheelgauge.Crash{Request: c.fingerprint(), Size: len(c.request.Body()), Server: s.Life()})
	c.gate.options.Meter.Count("servers.ended")
	if crashes >= minLoggedCrashes {
		c.gate.options.Log.Info("A server ended with a request in flight.", "id", c.id, "request", c.fingerprint(), "server", s.Life(), "ends", crashes)
	}
}

// closedByServer tells whether the other side closed or reset a connection. A time-out says
// nothing: the request's own deadline, or a link.
func closedByServer(err error) bool {
	for _, target := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}
