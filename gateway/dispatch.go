package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"wheelgauge"
	"wheelgauge/away"
	"wheelgauge/catalog"
	"wheelgauge/membership"
	"wheelgauge/rendezvous"
)

const (
	mostAttempts = 3
	oldServer    = "old path"
	// mostForwards is how many regions are tried: a forward that failed may be
	// made to another, a forwarded request is never sent on.
	mostForwards = 2
	goneEvery    = 100 * time.Millisecond
	cancelLimit  = 2 * time.Second
	// oldRetry is when a caller comes back at the earliest whose old path takes nothing.
	oldRetry = time.Second
)

// open dispatches a request and returns the answer with its body unread. Its
// error says not-run only if that holds for every attempt.
func (g *Gateway) open(ctx context.Context, rq *request) (*wheelgauge.Answer, error) {
	answer, err := g.dispatch(ctx, rq)
	if err != nil && rq.mayHaveRun && isOutcome(err, wheelgauge.OutcomeNotRun) {
		err = wheelgauge.AsError(err).WithOutcome(wheelgauge.OutcomeUnknown)
	}
	return answer, err
}

// dispatch chooses region and server. A call that is not repeatable is never
// dispatched again once a byte of it may have left.
func (g *Gateway) dispatch(ctx context.Context, rq *request) (*wheelgauge.Answer, error) {
	if err := g.held(rq); err != nil {
		return nil, err
	}
	if address := g.oldPath(rq); address != "" {
		return g.sendOld(ctx, rq, address)
	}
	var refused error // by another region, where this one cannot serve at all
	for range mostForwards {
		p, err := g.decide(rq)
		if err != nil {
			return nil, err
		}
		refused = nil
		if p.region == "" {
			break
		}
		rq.must = p.must
		answer, err := g.forward(ctx, rq, p.region)
		if err == nil || !g.mayRepeat(rq, err) {
			return answer, err
		}
		g.meter.Count("away.turned_back")
		if p.must {
			refused = err
		}
	}
	if refused != nil {
		return nil, refused
	}
	return g.sendHere(ctx, rq)
}

// sendHere tries servers of this region, within the retry budget.
func (g *Gateway) sendHere(ctx context.Context, rq *request) (*wheelgauge.Answer, error) {
	var tried []string
	var last error
	g.budget.First()
	for attempt := range mostAttempts {
		if attempt > 0 && !g.budget.Retry() {
			g.meter.Count("retries.no_budget")
			break
		}
		server, ok := g.pickPermitted(ctx, rq, tried)
		if !ok {
			break
		}
		g.meter.Count("attempts")
		answer, err := g.sendTo(ctx, rq, server)
		if err == nil {
			return answer, nil
		}
		last = err
		if !isOutcome(err, wheelgauge.OutcomeNotRun) {
			g.inquest(rq, server)
		}
		if !g.mayRepeat(rq, err) {
			return nil, err
		}
		if err := g.held(rq); err != nil {
			return nil, err
		}
		tried = append(tried, server.Name)
	}
	if last == nil {
		return nil, g.overloaded(rq, away.Place{}, 0)
	}
	if !rq.mayHaveRun {
		if after, ok := g.backoffEnds(rq); ok {
			return nil, backoffError(rq, g.o.Region, after)
		}
	}
	return nil, last
}

// mayRepeat takes note of a failed attempt and tells whether another may follow.
func (g *Gateway) mayRepeat(rq *request, err error) bool {
	if !isOutcome(err, wheelgauge.OutcomeNotRun) {
		rq.mayHaveRun = true
	}
	if g.over(rq) || rq.left() {
		return false
	}
	if isOutcome(err, wheelgauge.OutcomeNotRun) {
		return true
	}
	return !rq.once
}

func (rq *request) left() bool { return rq.gone != nil && rq.gone() }

func (g *Gateway) pick(rq *request, tried []string) (*catalog.Server, bool) {
	f := fields.Get().(*field)
	defer fields.Put(f)
	g.survey(f, rq.catalog, rq.route, rq.model, tried)
	if len(f.candidates) == 0 {
		return nil, false
	}
	i := g.o.Picker.Pick(rq.prefix, f.candidates)
	name := f.candidates[i].Name
	g.aside.Chosen(name)
	return rq.catalog.Server(name), true
}

func (g *Gateway) adapter(rq *request) wheelgauge.BackendServer {
	if rq.route.Engine {
		return g.engine
	}
	return g.service
}

// sendTo dispatches to one server and counts it as in flight until the answer
// is closed.
func (g *Gateway) sendTo(ctx context.Context, rq *request, s *catalog.Server) (*wheelgauge.Answer, error) {
	started := time.Now()
	sent := g.clock.Now()
	call := rq.call // an abandoned call keeps its own
	call.Deadline = g.due(rq)
	listener := &pushbackListener{gateway: g, server: s.Name}
	call.Heard = listener.hear
	g.inflight.Start(s.Name)
	g.inflight.Start(rq.route.Pool)
	g.inflight.Sent(s.Name, started)
	g.inflight.Sent(rq.route.Pool, started)
	answer, err := g.watched(rq,
		func() (*wheelgauge.Answer, error) { return g.adapter(rq).Send(ctx, s.Address, &call) },
		func() { g.cancelCall(rq, s.Address) },
		func() bool { return !rq.once && g.serverDead(s.Name) })
	g.firstByte(s.Name, started, err)
	g.firstByte(rq.route.Pool, started, err)
	if err != nil {
		g.inflight.End(s.Name, 0)
		g.inflight.End(rq.route.Pool, 0)
		if !rq.left() && !listener.backoff.Load() && wheelgauge.AsError(err).Reason() != wheelgauge.ReasonOverloaded {
			g.aside.Failed(s.Name, g.clock.Now())
			g.o.Log.V(1).Info("Attempt failed.", "server", s.Name, "cause", err.Error())
		}
		return nil, err
	}
	if !listener.backoff.Load() {
		g.aside.Worked(s.Name)
	}
	g.hearLimit(s.Name, answer, sent)
	rq.target.Store(&target{server: s.Name, region: g.o.Region})
	answer.Body = &countedBody{ReadCloser: answer.Body, end: func() {
		took := time.Since(started)
		g.inflight.End(s.Name, took)
		g.inflight.End(rq.route.Pool, took)
	}}
	return answer, nil
}

// firstByte tells the table that a first byte came, or that none will.
func (g *Gateway) firstByte(name string, started time.Time, err error) {
	g.inflight.First(name, started, err == nil)
}

// sent is the end of a call that was dispatched.
type sent struct {
	answer *wheelgauge.Answer
	err    error
}

// watched dispatches by send and, while no answer has come, looks whether the
// caller left, which cancels the work, and whether the other side is known to
// be dead, which ends the wait: its outcome stays unknown.
func (g *Gateway) watched(rq *request, send func() (*wheelgauge.Answer, error), cancel func(), dead func() bool) (*wheelgauge.Answer, error) {
	done := make(chan sent, 1)
	g.strays.Go(func() {
		answer, err := send()
		done <- sent{answer, err}
	})
	ticker := time.NewTicker(goneEvery)
	defer ticker.Stop()
	cancelled := false
	for {
		select {
		case e := <-done:
			return e.answer, e.err
		case <-ticker.C:
			if !cancelled && rq.left() {
				cancelled = true
				cancel()
			}
			if g.over(rq) && !cancelled {
				// The call's own deadline does not count the time that the host was suspended.
				g.strays.Go(cancel)
				g.abandon(done)
				return nil, wheelgauge.NewError(wheelgauge.ReasonDeadline, wheelgauge.OutcomeUnknown, http.StatusGatewayTimeout, "the request's time is over")
			}
			if dead() {
				g.abandon(done)
				return nil, wheelgauge.NewError(wheelgauge.ReasonServerFailed, wheelgauge.OutcomeUnknown, http.StatusBadGateway, "the other side stopped answering")
			}
		}
	}
}

// abandon closes an answer that nobody waits for any more, should it come.
func (g *Gateway) abandon(done chan sent) {
	g.meter.Count("abandoned")
	g.strays.Go(func() {
		if e := <-done; e.answer != nil {
			_ = e.answer.Body.Close() // nobody reads it
		}
	})
}

// serverDead tells whether heartbeats say that a backend server is gone.
func (g *Gateway) serverDead(name string) bool {
	s := g.node.Server(name)
	return s.Known && !s.Alive
}

func (g *Gateway) cancelCall(rq *request, address string) {
	g.meter.Count("cancelled")
	ctx, cancel := context.WithTimeout(context.WithoutCancel(g.ctx), cancelLimit)
	defer cancel()
	if err := g.engine.Cancel(ctx, address, rq.call.ID); err != nil {
		g.o.Log.V(1).Info("Cancel is not taken.", "cause", err.Error())
	}
}

// cancelPeer tells a peer that nobody waits for a forwarded request any more.
func (g *Gateway) cancelPeer(rq *request, address string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(g.ctx), cancelLimit)
	defer cancel()
	if err := g.client.Call(ctx, http.MethodPost, address, pathCancel+"?id="+url.QueryEscape(rq.call.ID), nil, nil); err != nil {
		g.o.Log.V(1).Info("Cancel is not taken by the peer.", "cause", err.Error())
	}
}

// oldPath returns where a route's old path stands, if this request takes it.
func (g *Gateway) oldPath(rq *request) string {
	old := rq.route.OldPath
	if old == nil {
		return ""
	}
	if contains(old.Clients, rq.identity.Client) {
		return old.Address
	}
	// The request's ID decides, so that a resumed stream stays on its path.
	if float64(rendezvous.Hash(rq.call.ID)%shareSteps) < old.Share*shareSteps {
		return old.Address
	}
	return ""
}

const shareSteps = 1 << 20

func (g *Gateway) sendOld(ctx context.Context, rq *request, address string) (*wheelgauge.Answer, error) {
	name, now := oldServer+" "+address, g.clock.Now()
	if state := g.pushbacks.look(name, membership.ServerState{}, now); !state.Allows(now) {
		return nil, backoffError(rq, "the old path", max(oldRetry, state.Left(now)))
	}
	g.meter.Count("old_path")
	rq.target.Store(&target{server: oldServer, region: g.o.Region})
	call := rq.call
	call.Deadline = g.due(rq)
	call.Heard = (&pushbackListener{gateway: g, server: name}).hear
	answer, err := g.adapter(rq).Send(ctx, address, &call)
	if err != nil {
		return nil, fmt.Errorf("old path: %w", err)
	}
	return answer, nil
}

// forward sends a request to a gateway of another region, once.
func (g *Gateway) forward(ctx context.Context, rq *request, region string) (*wheelgauge.Answer, error) {
	g.meter.Count("away.sent")
	started := time.Now()
	g.inflight.Start(awayName(region))
	g.inflight.Sent(awayName(region), started)
	answer, host, err := g.forwardAny(ctx, rq, region)
	g.firstByte(awayName(region), started, err)
	if err != nil {
		g.inflight.End(awayName(region), 0)
		return nil, err
	}
	rq.target.Store(&target{server: answer.Header(wheelgauge.HeaderServed), region: region, host: host})
	answer.Body = &countedBody{ReadCloser: answer.Body, end: func() { g.inflight.End(awayName(region), 0) }}
	return answer, nil
}

// forwardAny tries hosts of a region until one is reached, and returns which.
func (g *Gateway) forwardAny(ctx context.Context, rq *request, region string) (*wheelgauge.Answer, string, error) {
	err := error(wheelgauge.NewError(wheelgauge.ReasonNoServer, wheelgauge.OutcomeNotRun, http.StatusServiceUnavailable, "no host of "+region+" is reached"))
	for i, entry := range g.entriesIn(rq, region) {
		h := rq.catalog.Host(entry.Host)
		if i > 0 && (i == mostAttempts || g.peerGone(region, h.Name) || !g.budget.Retry()) {
			continue
		}
		call := g.forwardCall(rq)
		var answer *wheelgauge.Answer
		answer, err = g.watched(rq,
			func() (*wheelgauge.Answer, error) { return g.forwardTo(ctx, call, h.Peer, rq.once) },
			func() { g.cancelPeer(rq, h.Peer) },
			func() bool { return !rq.once && g.peerGone(region, h.Name) })
		if err == nil {
			return answer, h.Name, nil
		}
		if !g.mayRepeat(rq, err) {
			return nil, "", err
		}
	}
	return nil, "", err
}

// peerGone tells whether a host of another region is known to be gone.
func (g *Gateway) peerGone(region, host string) bool {
	return g.node.RegionGone(region) || g.node.HostDown(region, host)
}

func (g *Gateway) entriesIn(rq *request, region string) []wheelgauge.Entry {
	var out []wheelgauge.Entry
	for _, e := range g.entries(rq) {
		if e.Region == region {
			out = append(out, e)
		}
	}
	return out
}

// forwardCall makes the call that a peer gets.
func (g *Gateway) forwardCall(rq *request) *wheelgauge.Call {
	call := rq.call
	call.Path = pathForward + rq.call.Path
	if !rq.route.Engine {
		call.Path = pathForward + "/s" + rq.call.Path
	}
	call.Deadline = g.due(rq)
	call.Extra = forwardMarks(rq, g.o.Region, time.Until(call.Deadline))
	return &call
}

func (g *Gateway) forwardTo(ctx context.Context, call *wheelgauge.Call, address string, fresh bool) (*wheelgauge.Answer, error) {
	answer, err := g.peers.Send(ctx, address, call, fresh)
	if err != nil {
		return nil, err
	}
	return peerAnswer(answer)
}

// forwardMarks is what a forwarded request carries besides its body.
func forwardMarks(rq *request, from string, left time.Duration) [][2]string {
	out := [][2]string{
		{wheelgauge.HeaderForwardedFrom, from},
		{wheelgauge.HeaderClient, rq.identity.Client},
		{wheelgauge.HeaderClass, rq.identity.Class},
		{wheelgauge.HeaderHome, rq.identity.Home},
		{wheelgauge.HeaderDeadline, fmt.Sprint(max(1, left.Milliseconds()))},
	}
	if rq.once {
		out = append(out, [2]string{wheelgauge.HeaderNotRepeatable, "true"})
	}
	if rq.must {
		out = append(out, [2]string{wheelgauge.HeaderMust, "true"})
	}
	return out
}
