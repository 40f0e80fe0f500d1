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
	"wheelgauge/serverset"
)

const (
	// maxSends bounds the dispatches of one request, those that servers did
	// not run included.
	maxSends = 3
	// successLogInterval: one success in so many is logged; failures always are.
	successLogInterval = 64
)

// result is how one dispatch ended.
type result int

const (
	// answered: the caller has its answer, or its connection is cut.
	answered result = iota
	// notSent: no byte left for a server.
	notSent
	// notRun: a server or gateway said that it did not run the request.
	notRun
	// failed: the request may have run, and the caller has no answer yet.
	failed
	// retry: the request ran and failed, and its repeat is paid for.
	retry
)

// call is one request on its way through the gate.
type call struct {
	gate    *Gate
	request *callerhttp.Request
	route   *wheelgauge.PathRoute
	// workspace is nil for a request without one.
	workspace *wheelgauge.Workspace
	// rank orders the request in engines, 0 first.
	rank        int
	service     string
	id          string
	prompt      prompt.Prompt
	lastEventID string
	forwarded   bool
	started     time.Time
	// deadline is when the request's time is over if the host was not suspended since it
	// came, asleep for how long the host was by then; see due.
	deadline        time.Time
	suspendedBefore time.Duration
	version         uint64
	splitter        eventstream.Splitter
	// print is the request's fingerprint once it was asked for.
	cachedFingerprint wheelgauge.Fingerprint

	// drawn are units of the workspace's cap that were drawn and not used yet.
	capUnits float64
	// capWait is how long drawing them took.
	capWait time.Duration
	// permitWait is how long asking for permits took.
	permitWait time.Duration

	// versions may get the request; freeVersions ends that choice.
	versionChoice wheelgauge.VersionChoice
	releaseChoice func()
	// sentTo is the version of the last server that the request was sent to.
	sentVersion string

	triedServers []string
	triedPeers   []string
	sends        int
	runs         int
	status       int
	cause        string
	// pick is the last server chosen, for the log.
	lastPick      *serverset.Pick
	predictedWait time.Duration
	firstAfter    time.Duration
	// lastAt is when the last events came, pause the longest time between two.
	lastEventAt  time.Time
	longestPause time.Duration
	callerLeft   bool
}

// run dispatches until the caller has an answer.
func (c *call) run(ctx context.Context) {
	firstDispatch := true
	for {
		if c.expired() {
			c.fail("deadline", "the time for this request is over")
			return
		}
		if ctx.Err() != nil {
			c.endCallerLeft()
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
			continue // drawing took all that was left
		}
		if firstDispatch && !c.forwarded {
			c.gate.options.Budget.First(c.service)
		}
		firstDispatch = false
		runsBefore := c.runs
		res := c.dispatch(ctx)
		if c.runs > runsBefore {
			c.capUnits = 0 // a server may have run it
		}
		switch res {
		case answered:
			return
		case retry:
			continue
		case notSent, notRun:
			if ctx.Err() != nil || c.expired() {
				continue
			}
			if c.sends >= maxSends || c.sends > 0 && !c.gate.options.Budget.Repeat(c.service) {
				c.fail("servers refuse", "no backend server took the request")
				return
			}
		case failed:
			if ctx.Err() != nil && !c.expired() {
				c.endCallerLeft()
				return
			}
			if !c.mayRetry() {
				c.fail(c.cause, "a backend server failed: "+c.cause)
				return
			}
		}
	}
}

// mayRetry tells whether a request that may have run may run again, and pays
// for it. A forwarded request is repeated by the host it came to only, which
// alone knows on how many servers it ran.
func (c *call) mayRetry() bool {
	return !c.forwarded && c.route.Repeatable() && c.runs < c.route.Attempts && c.sends < maxSends && c.gate.options.Budget.Repeat(c.service)
}

// dispatch sends the request once, where the least wait is predicted.
func (c *call) dispatch(ctx context.Context) result {
	p := c.placeForVersion(ctx)
	defer c.releaseVersions()
	if ctx.Err() != nil || c.expired() {
		p.release()
		return notSent
	}
	switch {
	case p.pick != nil:
		c.predictedWait, c.lastPick = p.pick.Wait(), p.pick
		return c.sendToServer(ctx, p.pick)
	case p.peer != nil:
		c.releaseVersions() // the gateway there chooses
		return c.forwardToPeer(ctx, p.peer)
	case p.leaving && c.runs == 0:
		c.refuse(leavingRefusal())
		return answered
	case p.tooLate:
		c.fail("late", "every backend server is too busy to answer in time")
		return answered
	}
	c.fail("full", "no backend server can take the request now")
	return answered
}

// fail gives the request up and answers at once.
func (c *call) fail(cause, detail string) {
	c.cause = cause
	if c.request.Begun() {
		c.status = -1
		c.request.Cut()
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

// overloadRetryDivisor of what is left to a refused caller passes before it comes back:
// later, where it can wait, the crowd has thinned out more.
const (
	overloadRetryDivisor  = 4
	maxOverloadRetryAfter = 3 * time.Second
)

// overloadRetryAfter says when a refused caller should try again: when limits of servers allow
// something again, if it is by them.
func (c *call) overloadRetryAfter() time.Duration {
	latest := min(maxOverloadRetryAfter, max(minOverloadRetryAfter, time.Until(c.connDeadline())/overloadRetryDivisor))
	earliest, limited := c.gate.options.Servers.Soonest(c.job())
	if !limited {
		return latest
	}
	return max(minOverloadRetryAfter, c.gate.limitRetries.next(c.service, c.gate.options.Clock.Now(), earliest, latest))
}

// refuse answers with an error. Units that were not used are given back first: the caller
// may be back as soon as it has read the answer.
func (c *call) refuse(e *wheelgauge.Error) {
	c.returnCapUnits()
	c.status = e.Status()
	if c.cause == "" {
		c.cause = string(e.Reason())
	}
	if c.forwarded {
		e = e.WithSends(c.sends)
	}
	c.request.Refuse(e.WithRequestID(c.id))
}

// endCallerLeft ends a request whose caller has left.
func (c *call) endCallerLeft() {
	c.callerLeft = true
	c.cause = "caller left"
	c.request.Cut()
}

// close writes what came of the request.
func (c *call) close() {
	c.returnCapUnits()
	g := c.gate
	elapsed := time.Since(c.started)
	name := "none"
	if c.route != nil {
		name = c.route.Name
	}
	ok := isSuccess(c.status) && !c.callerLeft
	switch {
	case ok:
		g.options.Meter.Count("requests.ok")
		g.durations.observe(name, elapsed)
		g.backoffRetries.served(c.service, g.options.Clock.Now())
		g.options.Meter.Observe("requests.ms", name, name, elapsed)
	case c.callerLeft:
		g.options.Meter.Count("requests.left")
	default:
		g.options.Meter.Count("requests.failed")
	}
	if c.workspace != nil && !c.forwarded {
		inTime := ok && c.firstAfter <= c.route.Objective
		g.options.Meter.Workspace(c.workspace.Name, ok, inTime, c.status == http.StatusTooManyRequests, elapsed)
	}
	if ok && c.sends < 2 && g.successes.Add(1)%successLogInterval != 0 {
		return
	}
	g.options.Log.Info("Request ends.", "id", c.id, "request", c.fingerprint(), "route", name, "workspace", c.workspaceName(), "version", c.version,
		"state_age_ms", g.configAge().Milliseconds(), "list_age_ms", g.options.Servers.ListAge().Milliseconds(), "status", c.status, "cause", c.cause,
		"servers", strings.Join(c.triedServers, " "), "peers", strings.Join(c.triedPeers, " "), "runs", c.runs, "forwarded", c.forwarded,
		"cap_ms", c.capWait.Milliseconds(), "permit_ms", c.permitWait.Milliseconds(), "version_sent", c.sentVersion, "predicted_ms", c.predictedWait.Milliseconds(), "first_ms", c.firstAfter.Milliseconds(), "ms", elapsed.Milliseconds(),
		"events", c.splitter.Events(), "pause_ms", c.longestPause.Milliseconds(), "expected_tokens", c.prompt.Output(), "load", c.placementInputs())
}

// placementInputs are what the last choice of a server was made by; empty without one.
func (c *call) placementInputs() string {
	if c.lastPick == nil {
		return ""
	}
	l := c.lastPick.Before()
	limit, _ := c.gate.options.Limits.Rate(c.lastPick.Server().Life())
	return fmt.Sprintf("running=%d tokens=%d missing=%d source=%s age_ms=%d limit=%g", l.Running(), l.Tokens(), c.lastPick.Missing(), c.lastPick.Source(), l.Age().Milliseconds(), limit)
}
