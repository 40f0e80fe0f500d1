// Package engine implements the protocol of model engines: OpenAI-style completions
// with server-sent events, cancel, resume and a load report.
package engine

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"wheelgauge"
	"wheelgauge/peerhttp"
	"wheelgauge/upstream"
)

// Adapter implements wheelgauge.ModelEngine.
type Adapter struct {
	pool   *upstream.Pool
	client *peerhttp.Client
}

// New returns an adapter.
func New(pool *upstream.Pool, client *peerhttp.Client) *Adapter {
	return &Adapter{pool: pool, client: client}
}

// Send implements wheelgauge.BackendServer. An engine that did not execute a call says
// so in the outcome header; without the header, a failed call counts as executed.
func (a *Adapter) Send(ctx context.Context, address string, call *wheelgauge.Call) (*wheelgauge.Response, error) {
	answer, err := a.pool.Send(ctx, address, call, call.IdempotencyKey != "")
	if err != nil {
		return nil, err
	}
	if answer.Status < http.StatusInternalServerError {
		return answer, nil
	}
	// Headers are no longer valid after the body is closed.
	refused := answer.Header(wheelgauge.HeaderOutcome) == string(wheelgauge.OutcomeNotRun)
	_ = answer.Body.Close() // the call fails in any case
	if refused {
		return nil, wheelgauge.NewError(wheelgauge.ReasonOverloaded, wheelgauge.OutcomeNotRun, http.StatusServiceUnavailable, "engine queue is full").WithRetryAfter(time.Second)
	}
	return nil, wheelgauge.NewError(wheelgauge.ReasonServerFailed, wheelgauge.OutcomeRan, http.StatusBadGateway, "engine responded: "+http.StatusText(answer.Status))
}

// Cancel implements wheelgauge.BackendServer.
func (a *Adapter) Cancel(ctx context.Context, address, id string) error {
	return a.client.Call(ctx, http.MethodPost, address, "/v1/cancel?id="+url.QueryEscape(id), nil, nil)
}

// Load implements wheelgauge.BackendServer.
func (a *Adapter) Load(ctx context.Context, address string) (wheelgauge.LoadReport, error) {
	var r wheelgauge.LoadReport
	err := a.client.Call(ctx, http.MethodGet, address, "/v1/load", nil, &r)
	return r, err
}

// Order implements wheelgauge.ModelEngine.
func (a *Adapter) Order(ctx context.Context, address string, o wheelgauge.Order) error {
	return a.client.Call(ctx, http.MethodPost, address, "/v1/orders", o, nil)
}
