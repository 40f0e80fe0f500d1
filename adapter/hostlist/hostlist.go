// Package hostlist reads the platform's list of hosts. The list lags, so it only
// supplements the system's own heartbeats.
package hostlist

import (
	"context"
	"fmt"
	"net/http"

	"wheelgauge"
	"wheelgauge/peerhttp"
)

const path = "/hosts"

// List implements wheelgauge.HostList.
type List struct {
	address string
	client  *peerhttp.Client
}

// New returns a client of the host list at address.
func New(address string, client *peerhttp.Client) *List {
	return &List{address: address, client: client}
}

// Hosts implements wheelgauge.HostList.
func (l *List) Hosts(ctx context.Context) ([]wheelgauge.HostListEntry, error) {
	var hosts []wheelgauge.HostListEntry
	if err := l.client.Call(ctx, http.MethodGet, l.address, path, nil, &hosts); err != nil {
		return nil, fmt.Errorf("read host list: %w", err)
	}
	return hosts, nil
}
