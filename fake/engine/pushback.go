package engine

import (
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/peerhttp"
)

// Asked is a request that the engine received, with the pushback in its response.
type Asked struct {
	ID   string `json:"id"`
	AtMS int64  `json:"at_ms"`
	// RetryAfter is the Retry-After header of a request rejected for a backoff.
	RetryAfter string `json:"retry_after,omitempty"`
	// Leaving is set if the response announced that the engine is leaving.
	Leaving bool `json:"leaving,omitempty"`
}

// pushback is the state that the engine announces to senders in its responses.
type pushback struct {
	backoffUntil time.Time
	retryAfter   string
	leaving      bool
	log          []Asked
}

// BackOff makes the engine reject requests for a duration, with a Retry-After header.
func (e *Engine) BackOff(d time.Duration, retryAfter string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pushback.backoffUntil, e.pushback.retryAfter = time.Now().Add(d), retryAfter
}

// AnnounceLeaving makes responses, but not load reports, announce that the engine is leaving.
func (e *Engine) AnnounceLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pushback.leaving = true
}

// Received returns all received requests with the pushback in their responses.
func (e *Engine) Received() []Asked {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Asked{}, e.pushback.log...)
}

// applyPushback sets the pushback headers of the response. It reports whether it has rejected
// the request.
func (e *Engine) applyPushback(ctx *fasthttp.RequestCtx, id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	received := Asked{ID: id, AtMS: now.UnixMilli(), Leaving: e.pushback.leaving}
	if e.pushback.leaving {
		ctx.Response.Header.Set(wheelgauge.HeaderLeaving, "1")
	}
	if now.Before(e.pushback.backoffUntil) {
		received.RetryAfter = e.pushback.retryAfter
		peerhttp.AnswerError(ctx, wheelgauge.NewError(wheelgauge.ReasonOverloaded, wheelgauge.OutcomeNotRun, http.StatusServiceUnavailable, "engine asks for a backoff"))
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, e.pushback.retryAfter)
	}
	e.pushback.log = append(e.pushback.log, received)
	return received.RetryAfter != ""
}
