package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/relay"
)

const (
	eventStream = "text/event-stream"
	// maxBufferedBody bounds the answers that are read completely before they are passed
	// on, in bytes, so that a truncated one becomes an error and not half an answer.
	maxBufferedBody = 1 << 20
)

// notifyingBody calls onClose once, when the answer has been read or abandoned.
type notifyingBody struct {
	io.ReadCloser
	once    sync.Once
	onClose func()
}

// Close implements io.Closer.
func (b *notifyingBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.onClose)
	return err
}

// execute runs an admitted request and answers it.
func (g *Gateway) execute(ctx *fasthttp.RequestCtx, rq *request) {
	claim, err := g.claim(rq)
	if err != nil {
		g.finishWithError(ctx, rq, err)
		return
	}
	if claim != nil && claim.State == wheelgauge.ClaimDone {
		g.replayRecorded(ctx, rq, claim)
		return
	}
	answer, err := g.open(g.ctx, rq)
	if err != nil {
		g.releaseClaim(claim, err)
		g.finishWithError(ctx, rq, err)
		return
	}
	g.reply(ctx, rq, answer, claim)
}

// finishWithError ends a request with an error.
func (g *Gateway) finishWithError(ctx *fasthttp.RequestCtx, rq *request, err error) {
	g.refuse(ctx, rq, err)
	g.serving.Leave()
}

// reply passes an answer on to the caller.
func (g *Gateway) reply(ctx *fasthttp.RequestCtx, rq *request, answer *wheelgauge.Response, claim *heldClaim) {
	h := &ctx.Response.Header
	h.Set(wheelgauge.HeaderRequestID, rq.call.ID)
	to := rq.target.Load()
	h.Set(wheelgauge.HeaderServedBy, to.server)
	h.Set(wheelgauge.HeaderRegion, to.region)
	h.Set(wheelgauge.HeaderOutcome, string(wheelgauge.OutcomeRan))
	ctx.SetStatusCode(answer.Status)
	ctx.SetContentType(answer.ContentType)
	if after := answer.Header(fasthttp.HeaderRetryAfter); after != "" {
		h.Set(fasthttp.HeaderRetryAfter, after)
	}
	if claim == nil && strings.HasPrefix(answer.ContentType, eventStream) {
		g.replyStream(ctx, rq, answer)
		return
	}
	g.replyBuffered(ctx, rq, answer, claim)
}

func (g *Gateway) replyStream(ctx *fasthttp.RequestCtx, rq *request, answer *wheelgauge.Response) {
	var resume relay.Resume
	if !rq.notRepeatable {
		resume = g.resumeFunc(rq)
	}
	s := relay.New(g.ctx, answer, relay.Options{
		Started: rq.started, Resume: resume, OnEnd: func(e relay.Summary) { g.streamEnded(rq, e) }, OnOutput: func() { g.recordOutput(rq) },
		ServerDead: func() bool { return g.targetDead(rq) },
	})
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(s, -1)
}

// targetDead reports whether the server or peer that answers a request is known to be dead.
func (g *Gateway) targetDead(rq *request) bool {
	to := rq.target.Load()
	if to.region != g.options.Region {
		return g.peerDead(to.region, to.host)
	}
	return g.serverDead(to.server)
}

// resumeFunc returns a function that reopens a broken stream where it broke, within the
// retry budget.
func (g *Gateway) resumeFunc(rq *request) relay.Resume {
	initialSkip := rq.call.SkipTokens
	return func(ctx context.Context, skip int) (*wheelgauge.Response, error) {
		g.attributeLocalCrash(rq)
		if initialSkip+skip > 0 {
			if err := g.keepVersion(rq); err != nil {
				return nil, err
			}
		}
		if !g.budget.TakeRetry() {
			g.meter.Count("retries.no_budget")
			return nil, wheelgauge.NewError(wheelgauge.ReasonBrokenStream, wheelgauge.OutcomeRan, http.StatusBadGateway, "the retry budget is exhausted")
		}
		g.meter.Count("streams.resumed")
		rq.call.SkipTokens = initialSkip + skip
		rq.callerGone = nil
		return g.open(ctx, rq)
	}
}

// streamEnded records how a stream ended.
func (g *Gateway) streamEnded(rq *request, e relay.Summary) {
	defer g.serving.Leave()
	g.meter.Add("tokens", int64(e.Tokens))
	if e.Tokens > 0 {
		g.meter.Observe("first_token_ms", rq.identity.Client, rq.identity.Class, e.TimeToFirstToken)
	}
	switch {
	case e.Complete:
		g.noteSuccess(rq)
		g.observeAnswer(rq)
	case e.CallerLeft:
		g.meter.Count("streams.left")
		g.cancelStream(rq)
	default:
		g.attributeLocalCrash(rq)
		g.meter.Count("streams.broken")
	}
}

// cancelStream cancels the work of a stream whose caller has left.
func (g *Gateway) cancelStream(rq *request) {
	to := rq.target.Load()
	if s := rq.catalog.Server(to.server); s != nil && to.region == g.options.Region {
		g.cancelCall(rq, s.Address)
	}
}

func (g *Gateway) observeAnswer(rq *request) {
	g.meter.Count("answers")
	g.meter.Observe("total_ms", rq.identity.Client, rq.identity.Class, time.Since(rq.started))
	if rq.target.Load().region != g.options.Region {
		g.meter.Count("away.answers")
	}
}

func (g *Gateway) replyBuffered(ctx *fasthttp.RequestCtx, rq *request, answer *wheelgauge.Response, claim *heldClaim) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBufferedBody))
	if err == nil {
		err = g.checkEnd(rq, answer, body)
	}
	if err != nil {
		_ = answer.Body.Close() // nothing of it is passed on
		g.attributeLocalCrash(rq)
		g.finishWithError(ctx, rq, wheelgauge.NewError(wheelgauge.ReasonServerFailed, wheelgauge.OutcomeRan, http.StatusBadGateway, "the answer was cut short: "+err.Error()))
		return
	}
	if answer.EndUnknown {
		g.leaveUnrecorded(claim)
		g.replyOpen(ctx, rq, io.MultiReader(bytes.NewReader(body), answer.Body), answer.Body)
		return
	}
	if len(body) == maxBufferedBody {
		remainder := &notifyingBody{ReadCloser: answer.Body, onClose: func() { g.observeAnswer(rq); g.serving.Leave() }}
		ctx.SetBodyStream(struct {
			io.Reader
			io.Closer
		}{io.MultiReader(bytes.NewReader(body), answer.Body), remainder}, -1)
		return
	}
	_ = answer.Body.Close() // it was read to its end
	if answer.Status < http.StatusMultipleChoices {
		g.noteSuccess(rq)
	}
	g.recordAnswer(claim, answer, body)
	ctx.SetBody(body)
	g.observeAnswer(rq)
	g.serving.Leave()
}

// decodePeerAnswer turns an error answer of a peer into a *wheelgauge.Error; an answer
// that a backend server gave is returned as it is.
func decodePeerAnswer(answer *wheelgauge.Response) (*wheelgauge.Response, error) {
	outcome := answer.Header(wheelgauge.HeaderOutcome)
	if answer.Status < http.StatusBadRequest || outcome == string(wheelgauge.OutcomeRan) && answer.Header(wheelgauge.HeaderServedBy) != "" {
		return answer, nil
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBufferedBody))
	_ = answer.Body.Close() // read as far as possible
	fault := new(wheelgauge.Error)
	if err != nil || json.Unmarshal(body, fault) != nil || fault.Status() == 0 {
		return nil, wheelgauge.NewError(wheelgauge.ReasonServerFailed, wheelgauge.OutcomeUnknown, http.StatusBadGateway, "a peer's answer cannot be read")
	}
	return nil, fault
}
