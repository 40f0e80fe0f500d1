package main

import (
	"fmt"

	"wheelgauge/away"
	"wheelgauge/keypair"
	"wheelgauge/routing/baseline"
	"wheelgauge/settings"
)

const (
	name = "wheelgauge-gateway"
	long = `wheelgauge-gateway takes callers' requests, checks residency and limits, routes
them to backend servers of its region or to a gateway of another region, and
relays the answers. It learns the configuration from the stores.`
	example = `  wheelgauge-gateway --config /etc/wheelgauge/gateway.ini
  wheelgauge-gateway --config gateway.ini --check`

	pickerAffinity = "affinity"
)

var keys = []settings.Key{
	{Section: "host", Name: "name", Type: settings.Text, Required: true, Help: "name of this host, as in its Host resource"},
	{Section: "host", Name: "region", Type: settings.Text, Required: true, Help: "region of this host"},
	{Section: "host", Name: "hall", Type: settings.Text, Required: true, Help: "hall of this host"},
	{Section: "host", Name: "source", Type: settings.Text, Help: "IP address that connections leave from; the system's choice when empty"},
	{Section: "listen", Name: "caller", Type: settings.Address, Required: true, Help: "listener for callers"},
	{Section: "listen", Name: "peer", Type: settings.Address, Required: true, Help: "listener for other hosts"},
	{Section: "listen", Name: "operator", Type: settings.Address, Required: true, Help: "listener for metrics and readiness"},
	{Section: "listen", Name: "header_bytes", Type: settings.Int, Default: "16384", Min: 1024, Max: 1 << 20, Help: "largest request head"},
	{Section: "listen", Name: "body_bytes", Type: settings.Int, Default: "4194304", Min: 1024, Max: 1 << 30, Help: "largest request body"},
	{Section: "listen", Name: "connections", Type: settings.Int, Default: "16384", Min: 16, Max: 1 << 20, Help: "most connections of callers at once"},
	{Section: "listen", Name: "read_timeout", Type: settings.Duration, Default: "30s", Min: 0.1, Max: 600, Help: "longest time to take in a request"},
	{Section: "stores", Name: "addresses", Type: settings.List, Required: true, Help: "peer addresses of the stores, the region's own first"},
	{Section: "stores", Name: "wait", Type: settings.Duration, Default: "2s", Min: 0.05, Max: 25, Help: "how long a store may hold a watch without news"},
	{Section: "stores", Name: "silent", Type: settings.Duration, Default: "2s", Min: 0.05, Max: 60, Help: "how long after that a store counts as silent"},
	{Section: "peers", Name: "addresses", Type: settings.List, Help: "peer addresses of gateways of the region, asked at start"},
	{Section: "platform", Name: "directory", Type: settings.Address, Required: true, Help: "client directory"},
	{Section: "platform", Name: "host_list", Type: settings.Text, Help: "platform's host list, an address"},
	{Section: "data", Name: "folder", Type: settings.Text, Help: "keeps the last configuration; empty without a disk"},
	{Section: "requests", Name: "deadline", Type: settings.Duration, Default: "120s", Min: 0.1, Max: 3600, Help: "deadline where neither caller nor class states one"},
	{Section: "requests", Name: "longest_wait", Type: settings.Duration, Default: "10s", Min: 0.01, Max: 600, Help: "longest expected wait at which the highest priority is still taken"},
	{Section: "requests", Name: "affinity_bytes", Type: settings.Int, Default: "256", Min: 16, Max: 65536, Help: "prompt bytes that choose the warm server"},
	{Section: "drain", Name: "notice", Type: settings.Duration, Default: "4s", Max: 600, Help: "how long a leaving host still takes new work"},
	{Section: "drain", Name: "limit", Type: settings.Duration, Default: "10m", Min: 0.1, Max: 86400, Help: "longest wait for requests in flight"},
	{Section: "entry", Name: "ttl", Type: settings.Duration, Default: "3s", Min: 0.1, Max: 600, Help: "how long callers may keep an entry list"},
	{Section: "members", Name: "heartbeat", Type: settings.Duration, Default: "1s", Min: 0.02, Max: 60, Help: "interval of heartbeats and load reports"},
	{Section: "routing", Name: "picker", Type: settings.Choice, Choices: []string{pickerAffinity, baseline.Random, baseline.RoundRobin, baseline.LeastInFlight, baseline.StickyPrefix}, Default: pickerAffinity, Help: "how a backend server is chosen"},
	{Section: "routing", Name: "away", Type: settings.Choice, Choices: []string{away.PolicyCost, away.PolicyLocal, away.PolicyCheapest}, Default: away.PolicyCost, Help: "when requests leave the region"},
	{Section: "routing", Name: "second_value", Type: settings.Float, Default: "1", Max: 1e6, Help: "value of a second of waiting, in the currency of prices"},
	{Section: "routing", Name: "away_cost", Type: settings.Float, Default: "0.05", Max: 1e6, Help: "cost of sending one request away, in the same currency"},
	{Section: "routing", Name: "cold_prefill", Type: settings.Duration, Default: "60ms", Max: 600, Help: "time lost on a cold cache for 1,000 bytes of prompt"},
	{Section: "tls", Name: "certificate", Type: settings.Text, Help: "certificate for peers, PEM"},
	{Section: "tls", Name: "key", Type: settings.Text, Help: "its key, PEM"},
	{Section: "tls", Name: "authority", Type: settings.Text, Help: "authority that signs peers, PEM"},
	{Section: "tls", Name: "callers", Type: settings.Bool, Default: "false", Help: "serve callers by TLS too"},
}

// check refuses what would put peers or operators in the open.
func check(v *settings.Values) error {
	if v.Text("tls", "certificate") != "" {
		return nil
	}
	if peer := v.Text("listen", "peer"); !keypair.Loopback(peer) {
		return fmt.Errorf("[listen] peer: %s is not loopback, expected [tls] certificate, key and authority", peer)
	}
	return checkOperator(v.Text("listen", "operator"))
}

// checkOperator keeps the port without tokens on this machine.
func checkOperator(address string) error {
	if !keypair.Loopback(address) {
		return fmt.Errorf("[listen] operator: expected a loopback address, got %s", address)
	}
	return nil
}
