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

// minLoggedCrashes is how many servers must have crashed with a request in flight before each
// crash is logged: some tens of requests are in flight at each server, and all but one are
// unrelated to the crash.
const minLoggedCrashes = 2

// fingerprint identifies the content of the request, the same for all attempts at all hosts.
func (c *call) fingerprint() wheelgauge.Fingerprint {
	if c.cachedFingerprint == "" {
		h := c.request.Header()
		c.cachedFingerprint = fingerprint.Of(h.Method(), h.Host(), h.RequestURI(), c.workspaceName(), c.request.Body())
	}
	return c.cachedFingerprint
}

// quarantined reports whether the request is quarantined: every server that began to run it
// crashed, and further servers would too.
func (c *call) quarantined() bool {
	return c.gate.options.Quarantine.IsQuarantined(len(c.request.Body()), c.fingerprint)
}

// refuseQuarantined refuses a quarantined request at once.
func (c *call) refuseQuarantined() {
	c.gate.options.Meter.Count("requests.held")
	apiErr := quarantine.RejectionError()
	if c.runs > 0 || c.request.Started() {
		c.fail("held back", apiErr.Detail())
		return
	}
	c.cause = "held back"
	c.refuse(apiErr)
}

// recordSuccess records that the request ran to completion. A failure proves nothing: a server
// that fails some requests may have failed this one before it began to run it.
func (c *call) recordSuccess() {
	c.gate.options.Quarantine.RecordSuccess(len(c.request.Body()), c.fingerprint)
}

// attributeCrash records a crash of the server with the request in flight. A server that
// accepts a new connection did not crash, it only closed this one.
func (c *call) attributeCrash(ctx context.Context, x *exchange, s *serverset.Server) {
	if ctx.Err() != nil || !closedByServer(x.err) {
		return
	}
	limit, cancel := context.WithTimeout(ctx, quarantine.ProbeTimeout)
	defer cancel()
	if s.Pool().OpenIdle(limit) == nil {
		return
	}
	crashes := c.gate.options.Quarantine.RecordCrash(wheelgauge.Crash{Fingerprint: c.fingerprint(), BodyBytes: len(c.request.Body()), Server: s.InstanceKey()})
	c.endedServers = append(c.endedServers, s.InstanceKey())
	c.gate.options.Meter.Count("servers.ended")
	if crashes >= minLoggedCrashes {
		c.gate.options.Log.Info("A server ended with a request in flight.", "id", c.id, "request", c.fingerprint(), "server", s.InstanceKey(), "ends", crashes)
	}
}

// closedByServer reports whether the server closed or reset the connection. A timeout says
// nothing about the server: it comes from the deadline of the request or from a link.
func closedByServer(err error) bool {
	for _, target := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}
