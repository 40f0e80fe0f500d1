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
	// wholeBody is the largest answer that is taken in before it is passed on,
	// so that one cut short becomes an error and not half an answer.
	wholeBody = 1 << 20
)

// countedBody tells once when an answer has been read or given up.
type countedBody struct {
	io.ReadCloser
	once sync.Once
	end  func()
}

// Close implements io.Closer.
func (b *countedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.end)
	return err
}

// run carries a request out and answers it.
func (g *Gateway) run(ctx *fasthttp.RequestCtx, rq *request) {
	held, err := g.claim(rq)
	if err != nil {
		g.finish(ctx, rq, err)
		return
	}
	if held != nil && held.State == wheelgauge.ClaimDone {
		g.replay(ctx, rq, held)
		return
	}
	answer, err := g.open(g.ctx, rq)
	if err != nil {
		g.giveBack(held, err)
		g.finish(ctx, rq, err)
		return
	}
	g.reply(ctx, rq, answer, held)
}

// finish ends a request with an error.
func (g *Gateway) finish(ctx *fasthttp.RequestCtx, rq *request, err error) {
	g.refuse(ctx, rq, err)
	g.serving.Leave()
}

// reply passes an answer on to the caller.
func (g *Gateway) reply(ctx *fasthttp.RequestCtx, rq *request, answer *wheelgauge.Answer, held *heldClaim) {
	h := &ctx.Response.Header
	h.Set(wheelgauge.HeaderRequestID, rq.call.ID)
	to := rq.target.Load()
	h.Set(wheelgauge.HeaderServed, to.server)
	h.Set(wheelgauge.HeaderRegion, to.region)
	h.Set(wheelgauge.HeaderOutcome, string(wheelgauge.OutcomeRan))
	ctx.SetStatusCode(answer.Status)
	ctx.SetContentType(answer.ContentType)
	if after := answer.Header(fasthttp.HeaderRetryAfter); after != "" {
		h.Set(fasthttp.HeaderRetryAfter, after)
	}
	if held == nil && strings.HasPrefix(answer.ContentType, eventStream) {
		g.replyStream(ctx, rq, answer)
		return
	}
	g.replyWhole(ctx, rq, answer, held)
}

func (g *Gateway) replyStream(ctx *fasthttp.RequestCtx, rq *request, answer *wheelgauge.Answer) {
	var resume relay.Resume
	if !rq.once {
		resume = g.resumer(rq)
	}
	s := relay.New(g.ctx, answer, relay.Options{
		Started: rq.started, Resume: resume, OnEnd: func(e relay.Ending) { g.ended(rq, e) },
		Dead: func() bool { return g.otherSideDead(rq) },
	})
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(s, -1)
}

// otherSideDead tells whether who answers a request is known to be gone.
func (g *Gateway) otherSideDead(rq *request) bool {
	to := rq.target.Load()
	if to.region != g.o.Region {
		return g.peerGone(to.region, to.host)
	}
	return g.serverDead(to.server)
}

// resumer opens the rest of a broken stream, within the retry budget.
func (g *Gateway) resumer(rq *request) relay.Resume {
	before := rq.call.Skip
	return func(ctx context.Context, skip int) (*wheelgauge.Answer, error) {
		g.inquestHere(rq)
		if !g.budget.Retry() {
			g.meter.Count("retries.no_budget")
			return nil, wheelgauge.NewError(wheelgauge.ReasonBrokenStream, wheelgauge.OutcomeRan, http.StatusBadGateway, "no retry is left")
		}
		g.meter.Count("streams.resumed")
		rq.call.Skip = before + skip
		rq.gone = nil
		return g.open(ctx, rq)
	}
}

// ended records how a stream ended.
func (g *Gateway) ended(rq *request, e relay.Ending) {
	defer g.serving.Leave()
	g.meter.Add("tokens", int64(e.Tokens))
	if e.Tokens > 0 {
		g.meter.Observe("first_token_ms", rq.identity.Client, rq.identity.Class, e.FirstAfter)
	}
	switch {
	case e.Complete:
		g.ranWell(rq)
		g.observe(rq)
	case e.Left:
		g.meter.Count("streams.left")
		g.cancelStream(rq)
	default:
		g.inquestHere(rq)
		g.meter.Count("streams.broken")
	}
}

// cancelStream ends work that nobody reads any more.
func (g *Gateway) cancelStream(rq *request) {
	to := rq.target.Load()
	if s := rq.catalog.Server(to.server); s != nil && to.region == g.o.Region {
		g.cancelCall(rq, s.Address)
	}
}

func (g *Gateway) observe(rq *request) {
	g.meter.Count("answers")
	g.meter.Observe("total_ms", rq.identity.Client, rq.identity.Class, time.Since(rq.started))
	if rq.target.Load().region != g.o.Region {
		g.meter.Count("away.answers")
	}
}

func (g *Gateway) replyWhole(ctx *fasthttp.RequestCtx, rq *request, answer *wheelgauge.Answer, held *heldClaim) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, wholeBody))
	if err != nil {
		_ = answer.Body.Close() // its read failed already
		g.inquestHere(rq)
		g.finish(ctx, rq, wheelgauge.NewError(wheelgauge.ReasonServerFailed, wheelgauge.OutcomeRan, http.StatusBadGateway, "the answer was cut short: "+err.Error()))
		return
	}
	if len(body) == wholeBody {
		rest := &countedBody{ReadCloser: answer.Body, end: func() { g.observe(rq); g.serving.Leave() }}
		ctx.SetBodyStream(struct {
			io.Reader
			io.Closer
		}{io.MultiReader(bytes.NewReader(body), answer.Body), rest}, -1)
		return
	}
	_ = answer.Body.Close() // it was read to its end
	if answer.Status < http.StatusMultipleChoices {
		g.ranWell(rq)
	}
	g.record(held, answer, body)
	ctx.SetBody(body)
	g.observe(rq)
	g.serving.Leave()
}

// peerAnswer turns a typed error answer of a peer into an error.
func peerAnswer(answer *wheelgauge.Answer) (*wheelgauge.Answer, error) {
	outcome := answer.Header(wheelgauge.HeaderOutcome)
	if answer.Status < http.StatusBadRequest || outcome == string(wheelgauge.OutcomeRan) && answer.Header(wheelgauge.HeaderServed) != "" {
		return answer, nil
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, wholeBody))
	_ = answer.Body.Close() // read as far as it goes
	fault := new(wheelgauge.Error)
	if err != nil || json.Unmarshal(body, fault) != nil || fault.Status() == 0 {
		return nil, wheelgauge.NewError(wheelgauge.ReasonServerFailed, wheelgauge.OutcomeUnknown, http.StatusBadGateway, "a peer's answer cannot be read")
	}
	return nil, fault
}
