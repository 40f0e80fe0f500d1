package main

import (
	"fmt"

	"wheelgauge/keypair"
	"wheelgauge/settings"
)

const (
	name = "wheelgauge-store"
	long = `wheelgauge-store keeps one replica of the configuration, the claims of its region
and the region's hub. Initialize the first store of a system once with "found"; every
other store, and one whose disk was lost, joins automatically through its peers.`
	example = `  wheelgauge-store found --config store.ini
  wheelgauge-store found --config store.ini --claims-only
  wheelgauge-store --config store.ini`
)

var keys = []settings.Key{
	{Section: "store", Name: "name", Type: settings.Text, Required: true, Help: "name of this store, unique"},
	{Section: "store", Name: "region", Type: settings.Text, Required: true, Help: "region of this store"},
	{Section: "store", Name: "folder", Type: settings.Text, Required: true, Help: "data folder"},
	{Section: "store", Name: "source", Type: settings.Text, Help: "local IP address of outgoing connections; chosen by the operating system when empty"},
	{Section: "store", Name: "peers", Type: settings.List, Help: "peer addresses of the other stores"},
	{Section: "store", Name: "tokens", Type: settings.Text, Required: true, Help: "file of operators: sections with token and role"},
	{Section: "store", Name: "tick", Type: settings.Duration, Default: "50ms", Min: 0.001, Max: 10, Help: "tick of the Raft clock: 20 to 40 ticks without a leader start an election"},
	{Section: "store", Name: "heartbeat", Type: settings.Duration, Default: "1s", Min: 0.02, Max: 60, Help: "interval of hosts' heartbeats"},
	{Section: "store", Name: "claim_ttl", Type: settings.Duration, Default: "24h", Min: 1, Max: 31536000, Help: "how long an idempotency key is remembered"},
	{Section: "store", Name: "clock_skew", Type: settings.Duration, Default: "2m", Min: 0.001, Max: 86400, Help: "maximum clock skew between stores"},
	{Section: "listen", Name: "peer", Type: settings.Address, Required: true, Help: "listen address for stores and gateways"},
	{Section: "listen", Name: "advertised", Type: settings.Text, Help: "address at which others reach the peer listener; its listen address when empty"},
	{Section: "listen", Name: "operator", Type: settings.Address, Required: true, Help: "listen address for operators"},
	{Section: "orders", Name: "interval", Type: settings.Duration, Default: "2s", Min: 0.05, Max: 3600, Help: "interval at which placements are compared with the models of the engines"},
	{Section: "orders", Name: "loads_at_once", Type: settings.Int, Default: "4", Min: 1, Max: 10000, Help: "maximum number of concurrent model loads, as the weight store is rate-limited"},
	{Section: "orders", Name: "load_limit", Type: settings.Duration, Default: "10m", Min: 0.1, Max: 86400, Help: "timeout after which a model load is ordered again"},
	{Section: "tls", Name: "certificate", Type: settings.Text, Help: "certificate of this store, PEM"},
	{Section: "tls", Name: "key", Type: settings.Text, Help: "private key of the certificate, PEM"},
	{Section: "tls", Name: "authority", Type: settings.Text, Help: "CA certificate that peers' certificates are verified against, PEM"},
}

// check rejects listeners for peers and operators off loopback without TLS.
func check(v *settings.Values) error {
	if v.Text("tls", "certificate") != "" {
		return nil
	}
	for _, key := range []string{"peer", "operator"} {
		if address := v.Text("listen", key); !keypair.Loopback(address) {
			return fmt.Errorf("[listen] %s: %s is not loopback, expected [tls] certificate, key and authority", key, address)
		}
	}
	return nil
}
