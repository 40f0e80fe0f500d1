package main

import (
	"fmt"

	"wheelgauge/keypair"
	"wheelgauge/settings"
)

const (
	name = "wheelgauge-store"
	long = `wheelgauge-store keeps one replica of the configuration, the claims of its region
and the region's hub. Set the first store of a system up once with "found"; every
other store, and one whose disk was lost, joins through its peers by itself.`
	example = `  wheelgauge-store found --config store.ini
  wheelgauge-store found --config store.ini --claims-only
  wheelgauge-store --config store.ini`
)

var keys = []settings.Key{
	{Section: "store", Name: "name", Type: settings.Text, Required: true, Help: "name of this store, unique"},
	{Section: "store", Name: "region", Type: settings.Text, Required: true, Help: "region of this store"},
	{Section: "store", Name: "folder", Type: settings.Text, Required: true, Help: "data folder"},
	{Section: "store", Name: "source", Type: settings.Text, Help: "IP address that connections leave from; the system's choice when empty"},
	{Section: "store", Name: "peers", Type: settings.List, Help: "peer addresses of the other stores"},
	{Section: "store", Name: "tokens", Type: settings.Text, Required: true, Help: "operators' file: sections with token and role"},
	{Section: "store", Name: "tick", Type: settings.Duration, Default: "50ms", Min: 0.001, Max: 10, Help: "unit of elections: 20 to 40 ticks without a leader start one"},
	{Section: "store", Name: "heartbeat", Type: settings.Duration, Default: "1s", Min: 0.02, Max: 60, Help: "interval of hosts' heartbeats"},
	{Section: "store", Name: "claim_ttl", Type: settings.Duration, Default: "24h", Min: 1, Max: 31536000, Help: "how long an idempotency key is honoured"},
	{Section: "store", Name: "clock_skew", Type: settings.Duration, Default: "2m", Min: 0.001, Max: 86400, Help: "largest difference of clocks allowed for"},
	{Section: "listen", Name: "peer", Type: settings.Address, Required: true, Help: "listener for stores and gateways"},
	{Section: "listen", Name: "advertised", Type: settings.Text, Help: "how others reach the peer listener, the same when empty"},
	{Section: "listen", Name: "operator", Type: settings.Address, Required: true, Help: "listener for operators"},
	{Section: "orders", Name: "interval", Type: settings.Duration, Default: "2s", Min: 0.05, Max: 3600, Help: "how often placements are compared with the engines"},
	{Section: "orders", Name: "loads_at_once", Type: settings.Int, Default: "4", Min: 1, Max: 10000, Help: "most loads under way, as the weight store is rate-limited"},
	{Section: "orders", Name: "load_limit", Type: settings.Duration, Default: "10m", Min: 0.1, Max: 86400, Help: "longest load before it is ordered again"},
	{Section: "tls", Name: "certificate", Type: settings.Text, Help: "certificate, PEM"},
	{Section: "tls", Name: "key", Type: settings.Text, Help: "its key, PEM"},
	{Section: "tls", Name: "authority", Type: settings.Text, Help: "authority that signs peers, PEM"},
}

// check refuses peers and operators without TLS off this machine.
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
