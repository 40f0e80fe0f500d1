package native

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"wheelgauge"
	"wheelgauge/peerhttp"
)

// ServerList reads the server list from GET /v1/servers?halls=A,B, a JSON array of
// wheelgauge.Server.
type ServerList struct {
	address string
	client  *peerhttp.Client
}

// NewServerList returns a reader of the list served at an address.
func NewServerList(address string) *ServerList {
	return &ServerList{address: address, client: peerhttp.NewClient(nil, "")}
}

// Servers implements wheelgauge.ServerList.
func (l *ServerList) Servers(ctx context.Context, halls []string) ([]wheelgauge.Server, wheelgauge.InvalidEntries, error) {
	path := "/v1/servers"
	if len(halls) > 0 {
		path += "?halls=" + url.QueryEscape(strings.Join(halls, ","))
	}
	var entries []json.RawMessage
	if err := l.client.Call(ctx, http.MethodGet, l.address, path, nil, &entries); err != nil {
		return nil, nil, fmt.Errorf("read server list: %w", err)
	}
	var out []wheelgauge.Server
	foreign := wheelgauge.InvalidEntries{}
	for _, entry := range entries {
		var s wheelgauge.Server
		switch err := json.Unmarshal(entry, &s); {
		case err != nil:
			foreign[wheelgauge.EntryWrongType]++
		case s.Instance == "" || s.Service == "" || s.Address == "" || s.Hall == "":
			foreign[wheelgauge.EntryMissingField]++
		case !s.HasValidAddress():
			foreign[wheelgauge.EntryInvalidAddress]++
		default:
			out = append(out, s.Clamped())
		}
	}
	return out, foreign, nil
}
