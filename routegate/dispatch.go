package routegate

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/httpfield"
	"wheelgauge/peerset"
	"wheelgauge/reachability"
	"wheelgauge/responsehead"
	"wheelgauge/routetable"
	"wheelgauge/serverconn"
	"wheelgauge/serverset"
)

// exchange is one dispatch of a request on one connection.
type exchange struct {
	call *call
	conn *serverconn.Conn
	pool *serverconn.Pool
	head *fasthttp.ResponseHeader
	body *serverconn.Body
	// pick is nil for an exchange with another gateway.
	pick   *serverset.Pick
	send   *reachability.Send
	sentAt time.Time
	// sentClock is sentAt by the clock of the gate, which counts suspended time.
	sentClock time.Time
	// begun is set at the first event or byte of the answer.
	begun bool
	// pushedBack is set if the answer refuses the request and asks to back off.
	pushedBack bool
	// moved is set if this host ended the exchange because the request can go on elsewhere, and its
	// server or gateway is silent.
	moved atomic.Bool
	// err is why the answer is incomplete.
	err error
	// firstAfter is the time from sending to the first event or byte, eventsBefore the number
	// of events received in earlier exchanges.
	firstAfter   time.Duration
	eventsBefore int
	// delivering is set once events of this exchange were passed on.
	delivering bool
	// outputAt is when the output of the server last counted as proof of the prompt's parts, its first
	// event before that.
	outputAt time.Time
	// pace is how the events of a stream arrived, and how long the caller held any answer up.
	pace streamPace
}

// sendToServer dispatches to a server of the region.
func (c *call) sendToServer(ctx context.Context, k *serverset.Pick) result {
	s := k.Server()
	c.triedServers = append(c.triedServers, s.Instance())
	conn, err := s.Pool().Get(ctx)
	if err != nil {
		c.cause = err.Error()
		outcome := connectOutcome(err)
		if outcome == serverset.Unreachable {
			c.recordUnreached(ctx, s)
		}
		k.Done(outcome)
		return notSent
	}
	if !c.stillListed(ctx, k) || !c.stillAccepted(k) {
		s.Pool().PutUnused(conn)
		k.Done(serverset.Abandoned)
		return notSent
	}
	x := &exchange{call: c, conn: conn, pool: s.Pool(), pick: k, sentAt: time.Now(), sentClock: c.gate.options.Clock.Now()}
	defer func() {
		x.release()
		c.attributeCrash(ctx, x, s)
	}()
	defer context.AfterFunc(ctx, conn.Abort)()
	n := c.gate.options.Names
	set := [][2]string{
		{n.Deadline, remainingMS(c.connDeadline())},
		{n.Target, s.Instance()},
		{n.Priority, strconv.Itoa(c.rank)},
	}
	if c.workspace != nil {
		set = append(set, [2]string{n.Workspace, c.workspace.Name})
	}
	if from := k.Source(); from != "" {
		set = append(set, [2]string{n.CacheSource, from})
	}
	head := c.requestHead(set)
	c.sends++
	c.runs++
	c.recordTried()
	x.eventsBefore = c.splitter.Events()
	c.sentVersion = k.Version()
	c.gate.options.Versions.RecordSent(c.service, c.route.Name, c.sentVersion)
	defer c.recordAnswer(ctx, x, k)
	x.send = c.recordSent(x)
	defer x.send.End()
	if err := x.roundTrip(head); err != nil {
		x.send.End()
		x.err = err
		c.failedBy = x.ender()
		c.cause = err.Error()
		if _, ok := errors.AsType[*responsehead.MalformedError](err); ok {
			c.gate.options.Meter.Count("answers.foreign")
			c.recordReached()
		} else if !x.moved.Load() {
			c.recordUnreached(ctx, s)
		} else {
			c.triedServers = c.triedServers[:len(c.triedServers)-1] // it may go back if nobody takes it
		}
		// The true wait is longer still; the next predictions have to account for it.
		x.recordWait(true)
		k.Done(c.failureOutcome(ctx))
		return failed
	}
	c.recordReached()
	x.send.Received()
	c.observeLimits(x, s)
	x.pushedBack = c.observePushback(x, k)
	notRun := len(httpfield.Value(x.head, n.NotRun)) > 0
	rejected := notRun && x.head.StatusCode() == http.StatusServiceUnavailable
	r, loadKnown := serverset.ParseLoadReport(string(httpfield.Value(x.head, n.Load)))
	if loadKnown {
		k.Report(r, rejected)
	}
	c.recordPlaces(x, k, r, loadKnown, rejected && !x.pushedBack)
	if status := x.head.StatusCode(); notRun || status == http.StatusMisdirectedRequest {
		return c.endNotRun(x, k, status)
	}
	c.recordProven(x, s)
	return c.relayOrRetry(ctx, x, k)
}

func connectOutcome(err error) serverset.Outcome {
	if errors.Is(err, serverconn.ErrNoConns) {
		return serverset.Shed
	}
	return serverset.Unreachable
}

// failureOutcome separates a failure of the server from a caller that disconnected and from an
// expired deadline, which say little about the server.
func (c *call) failureOutcome(ctx context.Context) serverset.Outcome {
	if ctx.Err() != nil {
		return serverset.Abandoned
	}
	return serverset.Failed
}

// endNotRun handles an answer in which the server states that it did not run the request.
func (c *call) endNotRun(x *exchange, k *serverset.Pick, status int) result {
	c.runs--
	c.cause = "server answered " + strconv.Itoa(status) + " as not run"
	_ = x.discard() // a connection that breaks here is not kept
	if status == http.StatusMisdirectedRequest {
		k.Done(serverset.AddressReused)
		return notRun
	}
	if status == http.StatusServiceUnavailable && !x.pushedBack {
		c.recordRejection(k)
	}
	k.Done(x.pushbackOr(serverset.Shed))
	return notRun
}

// pushbackOr returns BackedOff if the server asked to back off, else the given outcome.
func (x *exchange) pushbackOr(fallback serverset.Outcome) serverset.Outcome {
	if x.pushedBack {
		return serverset.BackedOff
	}
	return fallback
}

// relayOrRetry relays the answer of a server, or decides to retry the request.
func (c *call) relayOrRetry(ctx context.Context, x *exchange, k *serverset.Pick) result {
	status := x.head.StatusCode()
	if status >= http.StatusInternalServerError {
		c.failedBy = x.ender()
		k.Done(x.pushbackOr(serverset.Failed))
		if c.mayRetry() {
			_ = x.discard() // a connection that breaks here is not kept
			return retry
		}
	}
	res := c.relay(ctx, x)
	k.HeldUp(x.pace.writing)
	switch {
	case res == answered && !c.endedBy.unrelatedToServer():
		switch {
		case x.err != nil || status >= http.StatusMultipleChoices:
		case x.body.Framing() != serverconn.Unframed || x.outlivesTrial(ctx):
			c.recordSuccess()
		default:
			c.recordUnproven(k.Server())
		}
		k.Done(serverset.Served)
	case ctx.Err() != nil || c.endedBy.unrelatedToServer():
		k.Done(serverset.Abandoned)
	default:
		k.Done(serverset.Failed)
	}
	return res
}

// forwardToPeer forwards the request to a gateway of another region.
func (c *call) forwardToPeer(ctx context.Context, p *peerset.Peer) result {
	c.triedPeers = append(c.triedPeers, p.Name())
	conn, err := p.Pool().Get(ctx)
	if err != nil {
		c.cause = err.Error()
		c.peerFailed(p, err)
		return notSent
	}
	x := &exchange{call: c, conn: conn, pool: p.Pool()}
	defer x.release()
	defer context.AfterFunc(ctx, conn.Abort)()
	set := [][2]string{
		{c.gate.options.Names.Deadline, remainingMS(c.connDeadline())},
		{wheelgauge.HeaderForwardedFrom, c.gate.options.Region},
		{wheelgauge.HeaderConfigVersion, strconv.FormatUint(c.version, 10)},
		{wheelgauge.HeaderRouteDigest, strconv.FormatUint(routetable.Digest(c.route, c.workspace), 10)},
	}
	if c.workspace != nil {
		set = append(set, [2]string{wheelgauge.HeaderWorkspace, c.workspace.Name})
	}
	if c.onTrial {
		set = append(set, [2]string{wheelgauge.HeaderTrial, "1"})
	}
	if c.continues() {
		set = append(set, [2]string{wheelgauge.HeaderStreamService, c.origin.service}, [2]string{wheelgauge.HeaderStreamVersion, c.origin.version})
	}
	head := c.requestHead(set)
	c.runs++
	c.recordTried()
	x.send = c.recordForwarded(x, p)
	defer x.send.End()
	if err := x.roundTrip(head); err != nil {
		x.send.End()
		c.failedBy = x.ender()
		c.cause = err.Error()
		c.sends++
		if !x.moved.Load() {
			c.peerFailed(p, err)
		} else {
			c.triedPeers = c.triedPeers[:len(c.triedPeers)-1] // it may go back if nobody takes it
		}
		c.recordForwardEnd(ctx, p, true)
		return failed
	}
	x.send.Received()
	outcome := wheelgauge.Outcome(httpfield.Value(x.head, wheelgauge.HeaderOutcome))
	if outcome == "" {
		res := c.relay(ctx, x)
		c.recordForwardEnd(ctx, p, res == failed)
		return res
	}
	c.cause = "gateway " + p.Name() + " answered " + strconv.Itoa(x.head.StatusCode())
	sends := parseSends(string(httpfield.Value(x.head, wheelgauge.HeaderSends)))
	_ = x.discard() // a connection that breaks here is not kept
	if outcome == wheelgauge.OutcomeNotRun {
		c.runs--
		switch reason := wheelgauge.Reason(httpfield.Value(x.head, wheelgauge.HeaderReason)); {
		case sends == 0 && reason == wheelgauge.ReasonNoRoom:
			return c.endTurnedBack(p)
		case reason == wheelgauge.ReasonOtherVersion:
			return c.endOtherVersion(ctx, parseNumber(httpfield.Value(x.head, wheelgauge.HeaderConfigVersion)))
		}
		// Sends refused by servers there count like any other send of this request:
		// the next one is a retry and takes from the budget here. Otherwise every
		// request would be retried while servers are full.
		c.sends += sends
		if !c.observePeerBackoff(x, p) {
			c.gate.options.Peers.Refused(p)
		}
		return notRun
	}
	c.failedBy = x.ender()
	c.sends += max(1, sends)
	c.recordForwardEnd(ctx, p, true)
	return failed
}

// parseSends reads to how many servers another gateway sent the request; 0 if the header is
// missing or malformed.
func parseSends(header string) int {
	n, err := strconv.Atoi(header)
	if err != nil {
		return 0
	}
	return max(0, n)
}

// peerFailed pauses a gateway that failed, and on a network timeout marks it as silent. An
// expired deadline of this request says nothing about either.
func (c *call) peerFailed(p *peerset.Peer, err error) {
	if c.expired() {
		return
	}
	c.gate.options.Peers.Pause(p)
	if timeout, ok := errors.AsType[net.Error](err); ok && timeout.Timeout() || errors.Is(err, syscall.ETIMEDOUT) {
		c.gate.options.Peers.PauseRegion(p)
	}
}

// roundTrip sends a request and reads the head of its answer.
func (x *exchange) roundTrip(head []byte) error {
	c := x.call
	if err := x.conn.Send(head, c.request.Body(), c.connDeadline()); err != nil {
		return err
	}
	var err error
	x.head, x.body, err = x.conn.ReadHead(c.gate.options.Names.RequestID, c.id, c.request.Header().IsHead())
	return err
}

func (x *exchange) discard() error { return x.body.Discard() }

func (x *exchange) release() {
	x.call.requestWrite = x.conn.WriteState()
	x.pool.Put(x.conn, x.head, x.body)
}

func (x *exchange) noteFirstByte() {
	if x.call.firstAfter == 0 {
		x.call.firstAfter = time.Since(x.call.started)
		x.call.recordServed()
	}
	if x.firstAfter == 0 {
		x.firstAfter = time.Since(x.sentAt)
	}
	if x.pick != nil && !x.begun {
		x.begun = true
		x.pick.FirstEvent()
		x.recordWait(false)
	}
}

// recordWait compares the predicted wait with the time waited so far; failed is set if no event
// came.
func (x *exchange) recordWait(failed bool) {
	waited := time.Since(x.sentAt)
	if x.call.idleProbe && !failed && isSuccess(x.head.StatusCode()) {
		x.call.gate.waits.observeProbe(x.call.route.Name, x.pick.Wait(), waited)
	} else {
		x.call.gate.waits.observe(x.call.route.Name, x.pick.Wait(), waited)
	}
	// The first byte of an answer that is not a stream comes after its last token, and an error
	// takes no work.
	if failed || x.call.route.Kind == wheelgauge.RouteStream && isSuccess(x.head.StatusCode()) {
		x.pick.FirstEventAfter(waited, failed)
	}
}
