package engine

import (
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/peerhttp"
)

// Asked is a request that came and what the engine asked of its sender in the answer.
type Asked struct {
	ID   string `json:"id"`
	AtMS int64  `json:"at_ms"`
	// RetryAfter is that of a request that was turned away for a backoff.
	RetryAfter string `json:"retry_after,omitempty"`
	// Leaving is set once the answers say so.
	Leaving bool `json:"leaving,omitempty"`
}

// asking is what the engine asks of all who send requests.
type asking struct {
	until      time.Time
	retryAfter string
	leaving    bool
	log        []Asked
}

// BackOff makes the engine turn requests away for a time, with a Retry-After.
func (e *Engine) BackOff(sick time.Duration, retryAfter string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asking.until, e.asking.retryAfter = time.Now().Add(sick), retryAfter
}

// SayLeaving makes answers say that the engine leaves, not its reports.
func (e *Engine) SayLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asking.leaving = true
}

// Asked returns all requests that came, with what was asked of their senders.
func (e *Engine) Asked() []Asked {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Asked{}, e.asking.log...)
}

// ask writes into the answer what the engine asks; it tells whether the request is turned
// away.
func (e *Engine) ask(ctx *fasthttp.RequestCtx, id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	one := Asked{ID: id, AtMS: now.UnixMilli(), Leaving: e.asking.leaving}
	if e.asking.leaving {
		ctx.Response.Header.Set(wheelgauge.HeaderLeaving, "1")
	}
	if now.Before(e.asking.until) {
		one.RetryAfter = e.asking.retryAfter
		peerhttp.AnswerError(ctx, wheelgauge.NewError(wheelgauge.ReasonOverloaded, wheelgauge.OutcomeNotRun, http.StatusServiceUnavailable, "the engine backs off"))
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, e.asking.retryAfter)
	}
	e.asking.log = append(e.asking.log, one)
	return one.RetryAfter != ""
}
