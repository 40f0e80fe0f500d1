package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"wheelgauge"
	"wheelgauge/catalog"
	"wheelgauge/membership"
	"wheelgauge/rendezvous"
	"wheelgauge/spillover"
)

const (
	maxAttempts   = 3
	oldPathServer = "old path"
	// maxForwards is how many regions are tried: a request whose forward failed may go to
	// another region, but a forwarded request is never forwarded again.
	maxForwards   = 2
	watchInterval = 100 * time.Millisecond
	cancelTimeout = 2 * time.Second
	// minOldPathRetry is the shortest Retry-After while the old path has asked to back off.
	minOldPathRetry = time.Second
)

// open dispatches a request and returns the answer with its body unread. Its
// error has the outcome not-run only if that holds for every attempt.
func (g *Gateway) open(ctx context.Context, rq *request) (*wheelgauge.Response, error) {
	answer, err := g.dispatch(ctx, rq)
	if err != nil && rq.mayHaveRun && hasOutcome(err, wheelgauge.OutcomeNotRun) {
		err = wheelgauge.AsError(err).WithOutcome(wheelgauge.OutcomeUnknown)
	}
	return answer, err
}

// dispatch chooses the region and the server. A call that is not repeatable is never
// dispatched again once a byte of it may have been sent.
func (g *Gateway) dispatch(ctx context.Context, rq *request) (*wheelgauge.Response, error) {
	if err := g.checkQuarantine(rq); err != nil {
		return nil, err
	}
	if address := g.oldPath(rq); address != "" && rq.mayContinueAtOldPath(address) {
		return g.sendOldPath(ctx, rq, address)
	}
	var turnedBack error // the error of another region, where this one cannot serve at all
	for range maxForwards {
		p, err := g.decide(rq)
		if err != nil {
			return nil, err
		}
		turnedBack = nil
		if p.region == "" {
			break
		}
		rq.mustAccept = p.mustForward
		answer, err := g.forward(ctx, rq, p.region)
		if err == nil || !g.mayRetry(rq, err) {
			return answer, err
		}
		g.meter.Count("away.turned_back")
		if p.mustForward {
			turnedBack = err
		}
	}
	if turnedBack != nil {
		return nil, turnedBack
	}
	return g.sendLocal(ctx, rq)
}

// sendLocal tries servers of this region, within the retry budget.
func (g *Gateway) sendLocal(ctx context.Context, rq *request) (*wheelgauge.Response, error) {
	var tried []string
	var last error
	g.budget.FirstAttempt()
	for attempt := range maxAttempts {
		if attempt > 0 && !g.budget.TakeRetry() {
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
		if !hasOutcome(err, wheelgauge.OutcomeNotRun) {
			g.attributeCrash(rq, server)
		}
		if !g.mayRetry(rq, err) || rq.mayHaveRun && g.holdsSuspectedPart(rq) {
			return nil, err
		}
		if err := g.checkQuarantine(rq); err != nil {
			return nil, err
		}
		tried = append(tried, server.Name)
	}
	if last == nil {
		return nil, g.overloadError(rq, spillover.RegionState{}, 0)
	}
	if !rq.mayHaveRun {
		if after, ok := g.backoffLeft(rq); ok {
			return nil, backoffError(rq, g.options.Region, after)
		}
	}
	return nil, last
}

// mayRetry records a failed attempt and reports whether another may follow.
func (g *Gateway) mayRetry(rq *request, err error) bool {
	if !hasOutcome(err, wheelgauge.OutcomeNotRun) {
		rq.mayHaveRun = true
	}
	if g.expired(rq) || rq.callerLeft() {
		return false
	}
	if hasOutcome(err, wheelgauge.OutcomeNotRun) {
		return true
	}
	return !rq.notRepeatable
}

func (rq *request) callerLeft() bool { return rq.callerGone != nil && rq.callerGone() }

func (g *Gateway) pickServer(rq *request, tried []string) (*catalog.Server, bool) {
	cs := candidateSets.Get().(*candidateSet)
	defer candidateSets.Put(cs)
	g.collectCandidates(cs, rq, tried)
	if len(cs.candidates) == 0 {
		return nil, false
	}
	i := g.options.Picker.Pick(rq.prefix, cs.candidates)
	name := cs.candidates[i].Name
	g.breakers.CallStarted(name)
	return rq.catalog.Server(name), true
}

func (g *Gateway) adapter(rq *request) wheelgauge.BackendServer {
	if rq.route.Engine {
		return g.engine
	}
	return g.service
}

// sendTo dispatches a request that has a place at a server, and counts it as in flight until the
// answer is closed.
func (g *Gateway) sendTo(ctx context.Context, rq *request, s *catalog.Server) (*wheelgauge.Response, error) {
	started := time.Now()
	sent := g.clock.Now()
	call := rq.call // a copy, as an abandoned call goes on using it
	call.Deadline = g.localDeadline(rq)
	listener := &pushbackListener{gateway: g, server: s.Name}
	call.OnResponse = func(status int, values func(name string) [][]byte) {
		listener.observe(status, values)
		g.observeBrittle(s.Name, status, values(wheelgauge.HeaderBrittle), sent)
		g.permits.Answered(s.Name, wheelgauge.PlaceAnswer{Rejected: status == http.StatusServiceUnavailable && !listener.backoff.Load()})
	}
	g.inflight.Start(s.Name)
	g.inflight.Start(rq.route.Pool)
	g.inflight.StartPending(s.Name, started)
	g.inflight.StartPending(rq.route.Pool, started)
	answer, err := g.sendWatched(rq,
		func() (*wheelgauge.Response, error) { return g.adapter(rq).Send(ctx, s.Address, &call) },
		func() { g.cancelCall(rq, s.Address) },
		func() bool { return !rq.notRepeatable && g.serverDead(s.Name) })
	g.endPending(s.Name, started, err)
	g.endPending(rq.route.Pool, started, err)
	if err != nil {
		g.permits.Leave(s.Name)
		g.inflight.End(s.Name, 0)
		g.inflight.End(rq.route.Pool, 0)
		if !rq.callerLeft() && !listener.backoff.Load() && wheelgauge.AsError(err).Reason() != wheelgauge.ReasonOverloaded {
			g.breakers.Failed(s.Name, g.clock.Now())
			g.options.Log.V(1).Info("Attempt failed.", "server", s.Name, "cause", err.Error())
		}
		return nil, err
	}
	if !listener.backoff.Load() {
		g.breakers.Succeeded(s.Name)
	}
	g.observeLimit(s.Name, answer, sent)
	rq.target.Store(&target{server: s.Name, region: g.options.Region, version: &s.Version})
	answer.Body = &notifyingBody{ReadCloser: answer.Body, onClose: func() {
		took := time.Since(started)
		g.permits.Leave(s.Name)
		g.inflight.End(s.Name, took)
		g.inflight.End(rq.route.Pool, took)
	}}
	return answer, nil
}

// endPending records that the first byte arrived, or that none will.
func (g *Gateway) endPending(name string, started time.Time, err error) {
	g.inflight.EndPending(name, started, err == nil)
}

// callResult is the result of a dispatched call.
type callResult struct {
	answer *wheelgauge.Response
	err    error
}

// sendWatched dispatches by send and checks two things until an answer arrives: if the
// caller has left, the work is cancelled; if the other side is known to be dead, the wait
// ends with an unknown outcome.
func (g *Gateway) sendWatched(rq *request, send func() (*wheelgauge.Response, error), cancel func(), dead func() bool) (*wheelgauge.Response, error) {
	done := make(chan callResult, 1)
	g.background.Go(func() {
		answer, err := send()
		done <- callResult{answer, err}
	})
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	cancelled := false
	for {
		select {
		case r := <-done:
			return r.answer, r.err
		case <-ticker.C:
			if !cancelled && rq.callerLeft() {
				cancelled = true
				cancel()
			}
			if g.expired(rq) && !cancelled {
				// The call's own deadline excludes the time that the host was suspended.
				g.background.Go(cancel)
				g.abandon(done)
				return nil, wheelgauge.NewError(wheelgauge.ReasonDeadline, wheelgauge.OutcomeUnknown, http.StatusGatewayTimeout, "the request's deadline has passed")
			}
			if dead() {
				g.abandon(done)
				return nil, wheelgauge.NewError(wheelgauge.ReasonServerFailed, wheelgauge.OutcomeUnknown, http.StatusBadGateway, "the other side stopped answering")
			}
		}
	}
}

// abandon closes the answer of a call that is no longer waited for, if one arrives.
func (g *Gateway) abandon(done chan callResult) {
	g.meter.Count("abandoned")
	g.background.Go(func() {
		if r := <-done; r.answer != nil {
			_ = r.answer.Body.Close() // it is not read
		}
	})
}

// serverDead reports whether heartbeats say that a backend server is dead.
func (g *Gateway) serverDead(name string) bool {
	s := g.node.Server(name)
	return s.Known && !s.Alive
}

func (g *Gateway) cancelCall(rq *request, address string) {
	g.meter.Count("cancelled")
	ctx, cancel := context.WithTimeout(context.WithoutCancel(g.ctx), cancelTimeout)
	defer cancel()
	if err := g.engine.Cancel(ctx, address, rq.call.ID); err != nil {
		g.options.Log.V(1).Info("Backend server did not accept the cancellation.", "cause", err.Error())
	}
}

// cancelPeer cancels a forwarded request at the peer.
func (g *Gateway) cancelPeer(rq *request, address string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(g.ctx), cancelTimeout)
	defer cancel()
	if err := g.client.Call(ctx, http.MethodPost, address, pathCancel+"?id="+url.QueryEscape(rq.call.ID), nil, nil); err != nil {
		g.options.Log.V(1).Info("Peer did not accept the cancellation.", "cause", err.Error())
	}
}

// oldPath returns the address of a route's old path if this request takes it, or "".
func (g *Gateway) oldPath(rq *request) string {
	old := rq.route.OldPath
	if old == nil {
		return ""
	}
	if contains(old.Clients, rq.identity.Client) {
		return old.Address
	}
	// Chosen by request ID, so that a resumed stream stays on its path.
	if float64(rendezvous.Hash(rq.call.ID)%shareSteps) < old.Share*shareSteps {
		return old.Address
	}
	return ""
}

const shareSteps = 1 << 20

func (g *Gateway) sendOldPath(ctx context.Context, rq *request, address string) (*wheelgauge.Response, error) {
	name, now := oldPathServer+" "+address, g.clock.Now()
	if state := g.pushbacks.lookup(name, membership.ServerState{}, now); !state.Allows(now) {
		return nil, backoffError(rq, "the old path", max(minOldPathRetry, state.Remaining(now)))
	}
	g.meter.Count("old_path")
	rq.target.Store(&target{server: oldPathServer, region: g.options.Region, version: oldPathVersion(address)})
	call := rq.call
	call.Deadline = g.localDeadline(rq)
	call.OnResponse = (&pushbackListener{gateway: g, server: name}).observe
	answer, err := g.adapter(rq).Send(ctx, address, &call)
	if err != nil {
		return nil, fmt.Errorf("old path: %w", err)
	}
	return answer, nil
}

// forward sends a request to a gateway of another region, once.
func (g *Gateway) forward(ctx context.Context, rq *request, region string) (*wheelgauge.Response, error) {
	g.meter.Count("away.sent")
	started := time.Now()
	g.inflight.Start(regionCounter(region))
	g.inflight.StartPending(regionCounter(region), started)
	answer, host, err := g.forwardToRegion(ctx, rq, region)
	g.endPending(regionCounter(region), started, err)
	if err != nil {
		g.inflight.End(regionCounter(region), 0)
		return nil, err
	}
	to := &target{server: answer.Header(wheelgauge.HeaderServedBy), region: region, host: host}
	if s := rq.catalog.Server(to.server); s != nil {
		to.version = &s.Version
	}
	if rq.began != nil && (to.version == nil || *to.version != *rq.began) {
		_ = answer.Body.Close() // it is not read
		g.inflight.End(regionCounter(region), 0)
		return nil, wheelgauge.NewError(wheelgauge.ReasonBrokenStream, wheelgauge.OutcomeUnknown, http.StatusBadGateway, "a peer resumed the stream at another version")
	}
	rq.target.Store(to)
	answer.Body = &notifyingBody{ReadCloser: answer.Body, onClose: func() { g.inflight.End(regionCounter(region), 0) }}
	return answer, nil
}

// forwardToRegion tries the hosts of a region until one answers, and returns its name.
func (g *Gateway) forwardToRegion(ctx context.Context, rq *request, region string) (*wheelgauge.Response, string, error) {
	err := error(wheelgauge.NewError(wheelgauge.ReasonNoServer, wheelgauge.OutcomeNotRun, http.StatusServiceUnavailable, "no host of "+region+" can be reached"))
	for i, entry := range g.regionEntries(rq, region) {
		h := rq.catalog.Host(entry.Host)
		if i > 0 && (i == maxAttempts || g.peerDead(region, h.Name) || !g.budget.TakeRetry()) {
			continue
		}
		call := g.forwardCall(rq)
		var answer *wheelgauge.Response
		answer, err = g.sendWatched(rq,
			func() (*wheelgauge.Response, error) {
				return g.forwardToHost(ctx, call, h.PeerAddress, rq.notRepeatable)
			},
			func() { g.cancelPeer(rq, h.PeerAddress) },
			func() bool { return !rq.notRepeatable && g.peerDead(region, h.Name) })
		if err == nil {
			return answer, h.Name, nil
		}
		if !g.mayRetry(rq, err) {
			return nil, "", err
		}
	}
	return nil, "", err
}

// peerDead reports whether a host of another region is known to be dead.
func (g *Gateway) peerDead(region, host string) bool {
	return g.node.RegionUnreachable(region) || g.node.HostUnavailable(region, host)
}

func (g *Gateway) regionEntries(rq *request, region string) []wheelgauge.EntryHost {
	var out []wheelgauge.EntryHost
	for _, e := range g.entries(rq) {
		if e.Region == region {
			out = append(out, e)
		}
	}
	return out
}

// forwardCall returns the call to send to a peer.
func (g *Gateway) forwardCall(rq *request) *wheelgauge.Call {
	call := rq.call
	call.Path = pathForward + rq.call.Path
	if !rq.route.Engine {
		call.Path = pathForward + "/s" + rq.call.Path
	}
	call.Deadline = g.localDeadline(rq)
	call.ExtraHeaders = forwardHeaders(rq, g.options.Region, time.Until(call.Deadline))
	return &call
}

func (g *Gateway) forwardToHost(ctx context.Context, call *wheelgauge.Call, address string, fresh bool) (*wheelgauge.Response, error) {
	answer, err := g.peers.Send(ctx, address, call, fresh)
	if err != nil {
		return nil, err
	}
	return decodePeerAnswer(answer)
}

// forwardHeaders returns the extra headers of a forwarded request.
func forwardHeaders(rq *request, from string, left time.Duration) [][2]string {
	out := [][2]string{
		{wheelgauge.HeaderForwardedFrom, from},
		{wheelgauge.HeaderClient, rq.identity.Client},
		{wheelgauge.HeaderClass, rq.identity.Class},
		{wheelgauge.HeaderHome, rq.identity.HomeRegion},
		{wheelgauge.HeaderDeadlineMS, fmt.Sprint(max(1, left.Milliseconds()))},
		{wheelgauge.HeaderRouteDigest, fmt.Sprint(rq.route.Digest)},
	}
	if rq.notRepeatable {
		out = append(out, [2]string{wheelgauge.HeaderNotRepeatable, "true"})
	}
	if rq.began != nil {
		out = append(out, [2]string{wheelgauge.HeaderStreamVersion, *rq.began})
	}
	if rq.mustAccept {
		out = append(out, [2]string{wheelgauge.HeaderMustAccept, "true"})
	}
	return out
}
