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
	// mostSends bounds the dispatches of one request, those that servers did
	// not run included.
	mostSends = 3
	// successSample: one success in so many is logged; failures always are.
	successSample = 64
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
	// repeat: the request ran and failed, and its repeat is paid for.
	repeat
)

// call is one request on its way through the gate.
type call struct {
	gate    *Gate
	request *callerhttp.Request
	route   *wheelgauge.PathRoute
	// workspace is nil for a request without one.
	workspace *wheelgauge.Workspace
	// rank orders the request in engines, 0 first.
	rank      int
	service   string
	id        string
	prompt    prompt.Prompt
	lastEvent string
	forwarded bool
	started   time.Time
	// deadline is when the request's time is over if the host was not suspended since it
	// came, asleep for how long the host was by then; see due.
	deadline time.Time
	asleep   time.Duration
	version  uint64
	splitter eventstream.Splitter
	// print is the request's fingerprint once it was asked for.
	print wheelgauge.Fingerprint

	// drawn are units of the workspace's cap that were drawn and not used yet.
	drawn float64
	// capWait is how long drawing them took.
	capWait time.Duration
	// permitWait is how long asking for permits took.
	permitWait time.Duration

	// versions may get the request; freeVersions ends that choice.
	versions     wheelgauge.VersionChoice
	freeVersions func()
	// sentTo is the version of the last server that the request was sent to.
	sentTo string

	tried  []string
	away   []string
	sends  int
	runs   int
	status int
	cause  string
	// pick is the last server chosen, for the log.
	pick  *serverset.Pick
	wait  time.Duration
	first time.Duration
	// lastAt is when the last events came, pause the longest time between two.
	lastAt time.Time
	pause  time.Duration
	left   bool
}

// run dispatches until the caller has an answer.
func (c *call) run(ctx context.Context) {
	first := true
	for {
		if c.over() {
			c.fail("deadline", "the time for this request is over")
			return
		}
		if ctx.Err() != nil {
			c.leave()
			return
		}
		if c.held() {
			c.hold()
			return
		}
		if fault := c.draw(ctx); fault != nil {
			c.overCap(ctx, fault)
			return
		}
		if c.over() {
			continue // drawing took all that was left
		}
		if first && !c.forwarded {
			c.gate.options.Budget.First(c.service)
		}
		first = false
		ran := c.runs
		res := c.dispatch(ctx)
		if c.runs > ran {
			c.drawn = 0 // a server may have run it
		}
		switch res {
		case answered:
			return
		case repeat:
			continue
		case notSent, notRun:
			if ctx.Err() != nil || c.over() {
				continue
			}
			if c.sends >= mostSends || c.sends > 0 && !c.gate.options.Budget.Repeat(c.service) {
				c.fail("servers refuse", "no backend server took the request")
				return
			}
		case failed:
			if ctx.Err() != nil && !c.over() {
				c.leave()
				return
			}
			if !c.mayRepeat() {
				c.fail(c.cause, "a backend server failed: "+c.cause)
				return
			}
		}
	}
}

// mayRepeat tells whether a request that may have run may run again, and pays
// for it. A forwarded request is repeated by the host it came to only, which
// alone knows on how many servers it ran.
func (c *call) mayRepeat() bool {
	return !c.forwarded && c.route.Repeatable() && c.runs < c.route.Attempts && c.sends < mostSends && c.gate.options.Budget.Repeat(c.service)
}

// dispatch sends the request once, where the least wait is predicted.
func (c *call) dispatch(ctx context.Context) result {
	p := c.placeVersion(ctx)
	defer c.freeVersion()
	if ctx.Err() != nil || c.over() {
		p.abandon()
		return notSent
	}
	switch {
	case p.pick != nil:
		c.wait, c.pick = p.pick.Wait(), p.pick
		return c.toServer(ctx, p.pick)
	case p.peer != nil:
		c.freeVersion() // the gateway there chooses
		return c.toPeer(ctx, p.peer)
	case p.leaving && c.runs == 0:
		c.refuse(leavingRefusal())
		return answered
	case p.late:
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
		if over, ok := c.backoffEnds(); ok {
			c.refuse(refusal(wheelgauge.ReasonBackoff, http.StatusServiceUnavailable, "all backend servers have asked to back off").WithRetryAfter(c.afterBackoff(over)))
			return
		}
		c.refuse(refusal(wheelgauge.ReasonOverloaded, http.StatusServiceUnavailable, detail).WithRetryAfter(c.comeBack()))
	case c.over():
		c.refuse(wheelgauge.NewError(wheelgauge.ReasonDeadline, wheelgauge.OutcomeUnknown, http.StatusGatewayTimeout, detail))
	default:
		c.refuse(wheelgauge.NewError(wheelgauge.ReasonServerFailed, wheelgauge.OutcomeUnknown, http.StatusBadGateway, detail))
	}
}

// retryPart of what is left to a refused caller passes before it comes back:
// later, where it can wait, the crowd has thinned out more.
const (
	retryPart   = 4
	latestRetry = 3 * time.Second
)

// comeBack says when a refused caller should try again: when limits of servers allow
// something again, if it is by them.
func (c *call) comeBack() time.Duration {
	latest := min(latestRetry, max(busyRetry, time.Until(c.due())/retryPart))
	soonest, limited := c.gate.options.Servers.Soonest(c.job())
	if !limited {
		return latest
	}
	return max(busyRetry, c.gate.turns.next(c.service, c.gate.options.Clock.Now(), soonest, latest))
}

// refuse answers with an error. Units that were not used are given back first: the caller
// may be back as soon as it has read the answer.
func (c *call) refuse(e *wheelgauge.Error) {
	c.giveBack()
	c.status = e.Status()
	if c.cause == "" {
		c.cause = string(e.Reason())
	}
	if c.forwarded {
		e = e.WithSends(c.sends)
	}
	c.request.Refuse(e.WithRequestID(c.id))
}

// leave ends a request whose caller has left.
func (c *call) leave() {
	c.left = true
	c.cause = "caller left"
	c.request.Cut()
}

// close writes what came of the request.
func (c *call) close() {
	c.giveBack()
	g := c.gate
	took := time.Since(c.started)
	name := "none"
	if c.route != nil {
		name = c.route.Name
	}
	good := isSuccess(c.status) && !c.left
	switch {
	case good:
		g.options.Meter.Count("requests.ok")
		g.durations.note(name, took)
		g.returns.served(c.service, g.options.Clock.Now())
		g.options.Meter.Observe("requests.ms", name, name, took)
	case c.left:
		g.options.Meter.Count("requests.left")
	default:
		g.options.Meter.Count("requests.failed")
	}
	if c.workspace != nil && !c.forwarded {
		inTime := good && c.first <= c.route.Objective
		g.options.Meter.Workspace(c.workspace.Name, good, inTime, c.status == http.StatusTooManyRequests, took)
	}
	if good && c.sends < 2 && g.sampled.Add(1)%successSample != 0 {
		return
	}
	g.options.Log.Info("Request ends.", "id", c.id, "request", c.asked(), "route", name, "workspace", c.workspaceName(), "version", c.version,
		"state_age_ms", g.stateAge().Milliseconds(), "list_age_ms", g.options.Servers.ListAge().Milliseconds(), "status", c.status, "cause", c.cause,
		"servers", strings.Join(c.tried, " "), "peers", strings.Join(c.away, " "), "runs", c.runs, "forwarded", c.forwarded,
		"cap_ms", c.capWait.Milliseconds(), "permit_ms", c.permitWait.Milliseconds(), "version_sent", c.sentTo, "predicted_ms", c.wait.Milliseconds(), "first_ms", c.first.Milliseconds(), "ms", took.Milliseconds(),
		"events", c.splitter.Events(), "pause_ms", c.pause.Milliseconds(), "expected_tokens", c.prompt.Output(), "load", c.inputs())
}

// inputs are what the last choice of a server was made by; empty without one.
func (c *call) inputs() string {
	if c.pick == nil {
		return ""
	}
	l := c.pick.Before()
	limit, _ := c.gate.options.Limits.Rate(c.pick.Server().Life())
	return fmt.Sprintf("running=%d tokens=%d missing=%d source=%s age_ms=%d limit=%g", l.Running(), l.Tokens(), c.pick.Missing(), c.pick.Source(), l.Age().Milliseconds(), limit)
}
