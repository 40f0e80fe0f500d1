package native

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"wheelgauge"
	"wheelgauge/peerhttp"
)

// ServerList reads GET /v1/servers?halls=A,B, a JSON list of wheelgauge.Server.
type ServerList struct {
	address string
	client  *peerhttp.Client
}

// NewServerList returns a reader of the list at an address.
func NewServerList(address string) *ServerList {
	return &ServerList{address: address, client: peerhttp.NewClient(nil, "")}
}

// Servers implements wheelgauge.ServerList.
func (l *ServerList) Servers(ctx context.Context, halls []string) ([]wheelgauge.Server, error) {
	path := "/v1/servers"
	if len(halls) > 0 {
		path += "?halls=" + url.QueryEscape(strings.Join(halls, ","))
	}
	var out []wheelgauge.Server
	if err := l.client.Call(ctx, http.MethodGet, l.address, path, nil, &out); err != nil {
		return nil, fmt.Errorf("list of servers: %w", err)
	}
	return out, nil
}
