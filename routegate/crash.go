package routegate

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"wheelgauge"
	"wheelgauge/fingerprint"
	"wheelgauge/httpfield"
	"wheelgauge/quarantine"
	"wheelgauge/serverconn"
	"wheelgauge/serverset"
)

// minLoggedCrashes is how many servers must have crashed with a request in flight before each
// crash is logged: some tens of requests are in flight at each server, and all but one are
// unrelated to the crash.
const (
	minLoggedCrashes = 2
	// maxJudgedParts bounds the parts of a prompt, from the first, that may be to blame for a crash.
	maxJudgedParts = 16
	// outputProofTime is how long after its first event a server must go on until the parts of the
	// prompt are taken for good. A server that crashes as it begins to answer does so before.
	outputProofTime = 200 * time.Millisecond
	// trialProofTime is how long after an answer that ended with its connection the server must go on
	// until the request is taken for good. One that crashes may still take a connection right after its
	// last byte.
	trialProofTime = 200 * time.Millisecond
	// trialProofTimeout is how long it has to accept one after a trial.
	trialProofTimeout = time.Second
)

// fingerprint identifies the content of the request, the same for all attempts at all hosts.
func (c *call) fingerprint() wheelgauge.Fingerprint {
	if c.cachedFingerprint == "" {
		h := c.request.Header()
		c.cachedFingerprint = fingerprint.Of(h.Method(), h.Host(), h.RequestURI(), c.workspaceName(), c.request.Body())
	}
	return c.cachedFingerprint
}

// partFingerprints identify the parts of the prompt that other requests may hold too.
func (c *call) partFingerprints() []wheelgauge.Fingerprint {
	shared := c.prompt.Shared()
	shared = shared[:min(maxJudgedParts, len(shared))]
	if c.cachedParts == nil && len(shared) > 0 {
		c.cachedParts = make([]wheelgauge.Fingerprint, 0, len(shared))
		for _, part := range shared {
			c.cachedParts = append(c.cachedParts, fingerprint.OfPart(c.service, part.ID()))
		}
	}
	return c.cachedParts
}

// quarantined reports whether the request or a part of its prompt is quarantined: every server that
// began to run it crashed, and further servers would too. A request on trial may reach one server.
func (c *call) quarantined() bool {
	q := c.gate.options.Quarantine
	if q.HoldsQuarantinedPart(c.partFingerprints) {
		return true
	}
	if !q.IsQuarantined(len(c.request.Body()), c.fingerprint) {
		return false
	}
	if !c.onTrial {
		c.takeTrial()
	}
	return !c.onTrial || c.runs > 0
}

// takeTrial sends a quarantined request on trial if it is time for one and this host was chosen, or
// the host that forwarded it.
func (c *call) takeTrial() {
	if c.forwarded {
		c.onTrial = len(httpfield.Value(c.request.Header(), wheelgauge.HeaderTrial)) > 0
		return
	}
	c.onTrial = c.gate.options.Quarantine.TakeTrial(c.fingerprint())
	if c.ownTrial = c.onTrial; c.ownTrial {
		c.gate.options.Meter.Count("requests.tried")
		c.gate.options.Log.Info("A quarantined request is tried.", "id", c.id, "request", c.fingerprint())
	}
}

// recordTried records that a trial is sent.
func (c *call) recordTried() {
	if c.ownTrial {
		c.gate.options.Quarantine.RecordTried(c.fingerprint())
	}
}

// outlivesTrial reports whether a server whose answer ended with its connection still takes
// connections some time after a request on trial, so the request did not crash it.
func (x *exchange) outlivesTrial(ctx context.Context) bool {
	if !x.call.onTrial {
		return false
	}
	wait := time.NewTimer(trialProofTime)
	defer wait.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-wait.C:
	}
	limit, cancel := context.WithTimeout(ctx, trialProofTimeout)
	defer cancel()
	return x.pool.OpenIdle(limit) == nil
}

// recordUnproven keeps a run whose answer ended with its connection, if the request may have crashed
// servers, until the server answers again.
func (c *call) recordUnproven(s *serverset.Server) {
	size := len(c.request.Body())
	if c.gate.options.Quarantine.HasSuspectOf(size) {
		c.gate.unproven.add(s.InstanceKey(), unprovenRun{request: c.fingerprint(), size: size, endedAt: c.gate.options.Clock.Now()})
	}
}

// recordProven records the runs that a server has survived, as it answers.
func (c *call) recordProven(x *exchange, s *serverset.Server) {
	for _, run := range c.gate.unproven.take(s.InstanceKey(), x.sentClock) {
		c.gate.options.Quarantine.RecordSuccess(run.size, func() wheelgauge.Fingerprint { return run.request })
	}
}

// endTrial logs the outcome of a trial, and gives back one that has reached no server.
func (c *call) endTrial() {
	if !c.ownTrial {
		return
	}
	if c.runs == 0 {
		c.gate.options.Quarantine.ReturnTrial(c.fingerprint())
	}
	c.gate.options.Log.Info("The trial of a quarantined request ends.", "id", c.id, "request", c.fingerprint(), "runs", c.runs, "status", c.status, "cause", c.cause)
}

// suspected reports whether the request or a part of its prompt may have crashed several servers.
// Another try could cost one more.
func (c *call) suspected() bool {
	return c.gate.options.Quarantine.IsSuspected(c.fingerprint, c.partFingerprints)
}

// refuseQuarantined refuses a quarantined request at once.
func (c *call) refuseQuarantined() {
	c.gate.options.Meter.Count("requests.held")
	c.heldInQuarantine = true
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
	c.gate.options.Quarantine.RecordOutput(c.partFingerprints())
}

// recordOutput records that a server goes on some time after it began to answer. By then it has
// read the whole prompt, so no part of it crashes servers; the request may still do.
func (x *exchange) recordOutput(now time.Time) {
	if x.pick == nil {
		return // the gateway that is connected to the server records it
	}
	if x.outputAt.IsZero() {
		x.outputAt = now
	}
	if now.Sub(x.outputAt) >= outputProofTime {
		x.outputAt = now
		x.call.gate.options.Quarantine.RecordOutput(x.call.partFingerprints())
	}
}

// attributeCrash records a crash of the server with the request in flight. A server that
// accepts a new connection did not crash, it only closed this one. One to which no further
// connection may be opened was not asked.
func (c *call) attributeCrash(ctx context.Context, x *exchange, s *serverset.Server) {
	if ctx.Err() != nil || !closedByServer(x.err) {
		return
	}
	limit, cancel := context.WithTimeout(ctx, quarantine.ProbeTimeout)
	defer cancel()
	if err := s.Pool().OpenIdle(limit); err == nil || errors.Is(err, serverconn.ErrNoConns) {
		return
	}
	crash := wheelgauge.Crash{Fingerprint: c.fingerprint(), BodyBytes: len(c.request.Body()), Server: s.InstanceKey(), Tried: c.onTrial}
	crashes := c.gate.options.Quarantine.RecordCrash(crash, c.partFingerprints()...)
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
