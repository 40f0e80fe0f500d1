package routegate

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"wheelgauge"
	"wheelgauge/callerhttp"
	"wheelgauge/eventstream"
	"wheelgauge/prompt"
	"wheelgauge/serverconn"
	"wheelgauge/serverset"
)

const (
	// maxSends bounds the dispatches of one request, including those that servers did not run.
	maxSends = 3
	// successLogInterval is the sampling of successful requests in the log: one in this many.
	// Failures are always logged.
	successLogInterval = 64
	// maxLoggedParts bounds the parts of a prompt in the log.
	maxLoggedParts = 8
)

// result is the outcome of one dispatch.
type result int

const (
	// answered: the caller has its answer, or its connection is closed.
	answered result = iota
	// notSent: no byte was sent to a server.
	notSent
	// notRun: a server or gateway reported that it did not run the request.
	notRun
	// turnedBack: another region has no room for the request, and sent it to no server.
	turnedBack
	// failed: the request may have run, and the caller has no answer yet.
	failed
	// retry: the request ran and failed, and its retry is taken from the budget.
	retry
)

// call is one request in progress.
type call struct {
	gate    *Gate
	request *callerhttp.Request
	route   *wheelgauge.PathRoute
	// workspace is nil for a request without one.
	workspace *wheelgauge.Workspace
	// rank is the priority of the request in engines, 0 first.
	rank        int
	service     string
	id          string
	prompt      prompt.Prompt
	lastEventID string
	// resumes is the ID of the request that brought the first event of a stream that the caller
	// takes up again.
	resumes string
	// origin is what began the stream, nil if this host does not know.
	origin    *streamOrigin
	forwarded bool
	started   time.Time
	// deadline is when the request expires if the host is not suspended after its arrival;
	// suspendedBefore is how long the host had been suspended by then. See connDeadline.
	deadline        time.Time
	suspendedBefore time.Duration
	// version is that of the configuration by which the request is judged, toldBy the store that
	// told it if it is newer than the one held. leastVersion is the oldest one by which it may be
	// judged, besides that of the gate; rejudged counts how often it was judged anew.
	version      uint64
	toldBy       string
	leastVersion uint64
	rejudged     int
	// admittedBy is the version by which the forwarding gateway admitted the request, admittedRoute
	// the digest of its route by that; 0 if it did not say.
	admittedBy    uint64
	admittedRoute uint64
	splitter      eventstream.Splitter
	// cachedFingerprint is set by the first call of fingerprint, cachedParts by that of
	// partFingerprints.
	cachedFingerprint wheelgauge.Fingerprint
	cachedParts       []wheelgauge.Fingerprint

	// capUnits are units taken from the cap of the workspace and not used yet.
	capUnits float64
	// capWait is the time spent on taking cap units.
	capWait time.Duration
	// permitWait is the time spent on waiting for permits. noPlaces counts the servers that had no
	// place for the request.
	permitWait time.Duration
	noPlaces   int
	// roomWait is the time spent in the waiting room.
	roomWait time.Duration
	// roomRefused is set once the room has refused the request: it is not held back any more.
	roomRefused bool
	// startBy is the last moment at which a request that has waited for room can start at a
	// server, by the clock of the gate; zero for one that has not.
	startBy time.Time
	// asked and taken are set once the request is counted in the shares of workspaces.
	asked, taken bool

	// versionFilter holds the versions that may get the request; releaseChoice ends that
	// choice.
	versionFilter wheelgauge.VersionFilter
	releaseChoice func()
	// sentVersion is the version of the last server that the request was sent to.
	sentVersion string

	triedServers []string
	triedPeers   []string
	// turnedBackBy are the regions that turned the request back, withheld those for which this
	// dispatch got no credit, creditFor is the one for which it got one.
	turnedBackBy []string
	// failedRegions are the regions that failed the request.
	failedRegions []string
	// moved is set once the request was moved away from silent servers of this region, retryTaken
	// while a retry is taken from the budget for a move.
	moved, retryTaken bool
	// idleProbe is set for a request that probes an idle server although it is expected to be late.
	idleProbe bool
	withheld  []string
	creditFor string
	sends     int
	runs      int
	status    int
	cause     string
	// framing is how the end of the last answer was marked, partialBytes how much of an event
	// came before that end, requestWrite how far the request was written by then, all for the log.
	framing      serverconn.Framing
	partialBytes int
	requestWrite string
	// heldInQuarantine is set for a request that is refused as quarantined.
	heldInQuarantine bool
	// onTrial is set for a quarantined request that may reach one server, to see whether it still
	// crashes servers; ownTrial if this host was granted the trial.
	onTrial, ownTrial bool
	// endedServers are the servers that ended with the request in flight, for the log.
	endedServers []string
	// lastPick is the last server chosen, for the log.
	lastPick      *serverset.Pick
	predictedWait time.Duration
	firstAfter    time.Duration
	// lastEventAt is when the last events arrived, longestPause the longest gap between two
	// arrivals.
	lastEventAt  time.Time
	longestPause time.Duration
	// failedBy is what the last failed exchange is blamed on; endedBy is set if the request ended
	// without the whole answer of the server or other gateway that had got it.
	failedBy, endedBy ender
	// returning is set for a caller that was refused before and comes when it was told to.
	returning bool
}

// run dispatches until the caller has an answer.
func (c *call) run(ctx context.Context) {
	if apiErr := c.findOrigin(ctx); apiErr != nil {
		c.refuse(apiErr)
		return
	}
	defer c.endTrial()
	firstDispatch := true
	for {
		if c.expired() {
			c.fail("deadline", "the time for this request is over")
			return
		}
		if ctx.Err() != nil {
			c.endCancelled(ctx)
			return
		}
		if c.quarantined() {
			c.refuseQuarantined()
			return
		}
		if apiErr := c.takeCapUnits(ctx); apiErr != nil {
			c.endOverCap(ctx, apiErr)
			return
		}
		if c.expired() {
			continue // taking cap units used up the remaining time
		}
		if firstDispatch && !c.forwarded {
			c.gate.options.Budget.RecordFirst(c.service)
		}
		firstDispatch = false
		runsBefore, sendsBefore := c.runs, c.sends
		res := c.dispatch(ctx)
		if c.runs > runsBefore && !c.retryTaken {
			c.capUnits = 0 // a server may have run it
		}
		switch res {
		case answered:
			return
		case retry, turnedBack:
			continue
		case notSent, notRun:
			if ctx.Err() != nil || c.expired() {
				continue
			}
			unsent := c.moved && c.sends == sendsBefore // the retry taken for its move is not used
			if c.sends >= maxSends || c.sends > 0 && !unsent && !c.gate.options.Budget.TryRetry(c.service) {
				c.fail("servers refuse", "no backend server took the request")
				return
			}
		case failed:
			if ctx.Err() != nil && !c.expired() {
				c.endCancelled(ctx)
				return
			}
			if !c.mayRetry() {
				c.fail(c.cause, "a backend server failed: "+c.cause)
				return
			}
		}
	}
}

// mayRetry reports whether a request that may have run may run again, and takes the retry from
// the budget. A forwarded request is retried only by the host that the caller connected to, as
// no other knows on how many servers it ran.
func (c *call) mayRetry() bool {
	taken := c.retryTaken
	c.retryTaken = false
	return c.mayRunAgain() && (taken || c.gate.options.Budget.TryRetry(c.service))
}

// mayRunAgain reports whether a request that may have run may run again, apart from the budget.
func (c *call) mayRunAgain() bool {
	return c.mayContinue() && !c.forwarded && !c.onTrial && c.route.Repeatable() && c.runs < c.route.MaxAttempts && c.sends < maxSends && !c.suspected()
}

// dispatch sends the request once, to where the shortest wait is predicted.
func (c *call) dispatch(ctx context.Context) result {
	p := c.placeInTurn(ctx)
	defer c.releaseVersions()
	if ctx.Err() != nil || c.expired() {
		p.release()
		return notSent
	}
	switch {
	case p.pick != nil:
		c.predictedWait, c.lastPick = p.pick.Wait(), p.pick
		c.logCold(p.pick)
		c.recordTaken()
		return c.sendToServer(ctx, p.pick)
	case p.peer != nil:
		c.releaseVersions() // the gateway there chooses
		c.recordForward(p.peer.Region())
		c.recordTaken()
		return c.forwardToPeer(ctx, p.peer)
	case p.leaving && c.runs == 0:
		c.refuse(leavingRefusal())
		return answered
	case p.tooLate && c.forwarded:
		c.turnBack()
		return answered
	case p.tooLate:
		c.fail("late", "no backend server or region is expected to answer in time")
		return answered
	}
	if c.continues() {
		c.fail("no server of its version", "no backend server of the version that began the stream can take it now")
		return answered
	}
	if c.noPlaces > 0 {
		c.fail("no place", "no backend server has room for the request now")
		return answered
	}
	c.fail("full", "no backend server can take the request now")
	return answered
}

// fail ends the request with an error, or closes the connection if the answer has begun.
func (c *call) fail(cause, detail string) {
	c.cause = cause
	switch {
	case c.runs == 0 && !c.request.Started():
	case c.expired():
		c.endedBy = endedByTime
	default:
		c.endedBy = c.failedBy
	}
	if c.request.Started() {
		c.status = -1
		c.request.Abort()
		return
	}
	switch {
	case c.runs == 0:
		if backoff, ok := c.backoffLeft(); ok {
			c.refuse(refusal(wheelgauge.ReasonBackoff, http.StatusServiceUnavailable, "all backend servers have asked to back off").WithRetryAfter(c.backoffRetryAfter(backoff)))
			return
		}
		c.refuse(refusal(wheelgauge.ReasonOverloaded, http.StatusServiceUnavailable, detail).WithRetryAfter(c.overloadRetryAfter()))
	case c.expired():
		c.refuse(wheelgauge.NewError(wheelgauge.ReasonDeadline, wheelgauge.OutcomeUnknown, http.StatusGatewayTimeout, detail))
	default:
		c.refuse(wheelgauge.NewError(wheelgauge.ReasonServerFailed, wheelgauge.OutcomeUnknown, http.StatusBadGateway, detail))
	}
}

// refuse answers with an error. Unused cap units are refunded first, as the caller may retry
// as soon as it has read the answer.
func (c *call) refuse(e *wheelgauge.Error) {
	c.refundCapUnits()
	c.status = e.Status()
	if c.cause == "" {
		c.cause = string(e.Reason())
	}
	if c.forwarded {
		e = e.WithSends(c.sends)
	}
	c.request.RespondError(e.WithRequestID(c.id))
}

// close refunds unused cap units, and records and logs the result of the request.
func (c *call) close() {
	c.refundCapUnits()
	g := c.gate
	elapsed := time.Since(c.started)
	name := "none"
	if c.route != nil {
		name = c.route.Name
	}
	ok := isSuccess(c.status) && c.endedBy == ""
	c.recordReturnEnd(ok)
	switch {
	case ok:
		g.options.Meter.Count("requests.ok")
		g.durations.observe(name, elapsed-c.roomWait)
		g.backoffRetries.served(c.service, g.options.Clock.Now())
		g.options.Meter.Observe("requests.ms", name, name, elapsed)
	case c.endedBy == endedByCaller || c.endedBy == endedByUnread:
		g.options.Meter.Count("requests.left")
	default:
		g.options.Meter.Count("requests.failed")
	}
	if c.endedBy != "" {
		g.options.Meter.Count("requests.ended_by." + strings.ReplaceAll(string(c.endedBy), " ", "_"))
	}
	if c.workspace != nil && !c.forwarded {
		inTime := ok && c.firstAfter <= c.route.LatencyObjective
		g.options.Meter.CountWorkspace(c.workspace.Name, ok, inTime, c.status == http.StatusTooManyRequests, elapsed)
	}
	if ok && c.sends < 2 && c.partialBytes == 0 && c.requestWrite == serverconn.WriteWhole && !c.atOtherVersion() && g.successes.Add(1)%successLogInterval != 0 {
		return
	}
	g.options.Log.Info("Request ends.", "id", c.id, "request", c.loggedFingerprint(), "route", name, "workspace", c.workspaceName(), "version", c.version, "told_by", c.toldBy, "admitted_by", c.admittedBy,
		"state_age_ms", g.configAge().Milliseconds(), "list_age_ms", g.options.Servers.ListAge().Milliseconds(), "status", c.status, "cause", c.cause, "ended_by", c.endedBy, "leaving_ms", g.leavingFor().Milliseconds(),
		"servers", strings.Join(c.triedServers, " "), "peers", strings.Join(c.triedPeers, " "), "runs", c.runs, "forwarded", c.forwarded,
		"cap_ms", c.capWait.Milliseconds(), "permit_ms", c.permitWait.Milliseconds(), "no_places", c.noPlaces, "room_ms", c.roomWait.Milliseconds(), "version_sent", c.sentVersion, "version_began", c.origin.text(), "resumes", c.resumes, "resumed_after", c.lastEventID, "predicted_ms", c.predictedWait.Milliseconds(), "first_ms", c.firstAfter.Milliseconds(), "ms", elapsed.Milliseconds(),
		"events", c.splitter.Events(), "ended", strings.Join(c.endedServers, " "), "parts", c.loggedParts(), "framing", c.framing, "partial_bytes", c.partialBytes, "request_write", c.requestWrite, "pause_ms", c.longestPause.Milliseconds(), "expected_tokens", c.prompt.Output(), "load", c.placementInputs(), "forecast", c.forecastText())
}

// logCold logs that the request goes to a cold server, and what the choice went by.
func (c *call) logCold(k *serverset.Pick) {
	cold, ok := k.Cold()
	if !ok {
		return
	}
	o := c.gate.options
	o.Meter.Count("cold.sent." + string(cold.Source()))
	o.Log.Info("A cold server is chosen.", "id", c.id, "server", k.Server().InstanceKey(), "left_ms", cold.Left().Milliseconds(), "source", cold.Source(),
		"hosts", cold.Hosts(), "hosts_age_ms", cold.HostsAge().Milliseconds(), "list_age_ms", o.Servers.ListAge().Milliseconds())
}

// loggedParts renders the parts of the prompt that other requests may share, with their
// fingerprints, of a request that is held back or whose server ended; empty otherwise.
func (c *call) loggedParts() string {
	if len(c.endedServers) == 0 && !c.heldInQuarantine {
		return ""
	}
	fingerprints := c.partFingerprints()
	parts := make([]string, 0, maxLoggedParts)
	for n, p := range c.prompt.Shared()[:min(maxLoggedParts, len(fingerprints))] {
		parts = append(parts, fmt.Sprintf("%s=%s", p.Name(), fingerprints[n]))
	}
	return strings.Join(parts, " ")
}

// placementInputs renders the load figures behind the last choice of a server; empty without
// one.
func (c *call) placementInputs() string {
	if c.lastPick == nil {
		return ""
	}
	l := c.lastPick.LoadBefore()
	limit, _ := c.gate.options.Limits.Rate(c.lastPick.Server().InstanceKey())
	return fmt.Sprintf("running=%d tokens=%d missing=%d source=%s age_ms=%d limit=%g", l.Running(), l.Tokens(), c.lastPick.MissingTokens(), c.lastPick.Source(), l.Age().Milliseconds(), limit)
}

// forecastText renders the engine model's forecast at the last choice of a server; empty without
// one.
func (c *call) forecastText() string {
	if c.lastPick == nil {
		return ""
	}
	f, slowness, ok := c.lastPick.Forecast()
	if !ok {
		return ""
	}
	return fmt.Sprintf("first_ms=%d pause_ms=%d last_ms=%d slowness=%.2f", f.First.Milliseconds(), f.Pause.Milliseconds(), f.Last.Milliseconds(), slowness)
}
