// Package service calls plain HTTP services.
package service

import (
	"context"
	"net/http"

	"wheelgauge"
	"wheelgauge/peerhttp"
	"wheelgauge/upstream"
)

// Adapter implements wheelgauge.BackendServer.
type Adapter struct {
	pool   *upstream.Pool
	client *peerhttp.Client
}

// New returns an adapter.
func New(pool *upstream.Pool, client *peerhttp.Client) *Adapter {
	return &Adapter{pool: pool, client: client}
}

// Send implements wheelgauge.BackendServer. Every response of a service is returned to
// the caller, whatever its status. Calls other than GET use a new connection, which
// the service cannot have closed while it was idle.
func (a *Adapter) Send(ctx context.Context, address string, call *wheelgauge.Call) (*wheelgauge.Response, error) {
	return a.pool.Send(ctx, address, call, call.Method != http.MethodGet)
}

// Cancel implements wheelgauge.BackendServer. Services do not support it.
func (a *Adapter) Cancel(context.Context, string, string) error { return nil }

// Load implements wheelgauge.BackendServer.
func (a *Adapter) Load(ctx context.Context, address string) (wheelgauge.LoadReport, error) {
	var r wheelgauge.LoadReport
	err := a.client.Call(ctx, http.MethodGet, address, "/load", nil, &r)
	return r, err
}
