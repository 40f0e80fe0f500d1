package entrynode

import (
	"context"
	"net/http"

	"wheelgauge"
	"wheelgauge/originclient"
)

// newOrigins returns the client for what began streams.
func (n *Node) newOrigins() *originclient.Client {
	return originclient.New(originclient.Options{
		Stores: n.stores, Sole: n.servers.SoleVersion, Request: n.exchangeOrigins, Now: n.options.Clock.Now, Meter: n.meter, Log: n.options.Log.WithName("origins"),
	})
}

// exchangeOrigins tells a store what began streams, or asks it.
func (n *Node) exchangeOrigins(ctx context.Context, address string, req wheelgauge.StreamOriginsRequest) (resp wheelgauge.StreamOriginsResponse, err error) {
	err = n.client.Call(ctx, http.MethodPost, address, originclient.Path, req, &resp)
	return resp, err
}
