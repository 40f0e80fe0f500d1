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
	long = `wheelgauge-gateway accepts callers' requests, checks residency and limits, routes
them to backend servers of its region or to a gateway of another region, and
relays the responses. It fetches the configuration from the stores.`
	example = `  wheelgauge-gateway --config /etc/wheelgauge/gateway.ini
  wheelgauge-gateway --config gateway.ini --check`

	pickerAffinity = "affinity"
)

var keys = []settings.Key{
	{Section: "host", Name: "name", Type: settings.Text, Required: true, Help: "name of this host, as in its Host resource"},
	{Section: "host", Name: "region", Type: settings.Text, Required: true, Help: "region of this host"},
	{Section: "host", Name: "hall", Type: settings.Text, Required: true, Help: "hall of this host"},
	{Section: "host", Name: "source", Type: settings.Text, Help: "local IP address of outgoing connections; chosen by the operating system when empty"},
	{Section: "listen", Name: "caller", Type: settings.Address, Required: true, Help: "listen address for callers"},
	{Section: "listen", Name: "peer", Type: settings.Address, Required: true, Help: "listen address for other hosts"},
	{Section: "listen", Name: "operator", Type: settings.Address, Required: true, Help: "listen address for metrics and readiness"},
	{Section: "listen", Name: "header_bytes", Type: settings.Int, Default: "16384", Min: 1024, Max: 1 << 20, Help: "maximum size of a request header"},
	{Section: "listen", Name: "body_bytes", Type: settings.Int, Default: "4194304", Min: 1024, Max: 1 << 30, Help: "maximum size of a request body"},
	{Section: "listen", Name: "connections", Type: settings.Int, Default: "16384", Min: 16, Max: 1 << 20, Help: "maximum number of callers' connections"},
	{Section: "listen", Name: "read_timeout", Type: settings.Duration, Default: "30s", Min: 0.1, Max: 600, Help: "timeout for reading a request"},
	{Section: "stores", Name: "addresses", Type: settings.List, Required: true, Help: "peer addresses of the stores, those of this region first"},
	{Section: "stores", Name: "wait", Type: settings.Duration, Default: "2s", Min: 0.05, Max: 25, Help: "how long a store may hold a watch request without changes"},
	{Section: "stores", Name: "silent", Type: settings.Duration, Default: "2s", Min: 0.05, Max: 60, Help: "how long after that time a store that has not responded counts as unreachable"},
	{Section: "peers", Name: "addresses", Type: settings.List, Help: "peer addresses of gateways of the region, queried at start"},
	{Section: "platform", Name: "directory", Type: settings.Address, Required: true, Help: "address of the client directory"},
	{Section: "platform", Name: "host_list", Type: settings.Text, Help: "address of the platform's host list"},
	{Section: "data", Name: "folder", Type: settings.Text, Help: "folder for the last configuration; empty on hosts without a disk"},
	{Section: "requests", Name: "deadline", Type: settings.Duration, Default: "120s", Min: 0.1, Max: 3600, Help: "deadline of requests for which neither the caller nor the client class sets one"},
	{Section: "requests", Name: "longest_wait", Type: settings.Duration, Default: "10s", Min: 0.01, Max: 600, Help: "longest expected wait at which requests of the highest priority are still admitted"},
	{Section: "requests", Name: "affinity_bytes", Type: settings.Int, Default: "256", Min: 16, Max: 65536, Help: "length of the prompt prefix that selects the server with a warm cache"},
	{Section: "drain", Name: "notice", Type: settings.Duration, Default: "4s", Max: 600, Help: "how long a leaving host still accepts new requests"},
	{Section: "drain", Name: "limit", Type: settings.Duration, Default: "10m", Min: 0.1, Max: 86400, Help: "maximum wait for requests in flight"},
	{Section: "entry", Name: "ttl", Type: settings.Duration, Default: "3s", Min: 0.1, Max: 600, Help: "how long callers may cache an entry list"},
	{Section: "members", Name: "heartbeat", Type: settings.Duration, Default: "1s", Min: 0.02, Max: 60, Help: "interval of heartbeats and load reports"},
	{Section: "routing", Name: "picker", Type: settings.Choice, Choices: []string{pickerAffinity, baseline.Random, baseline.RoundRobin, baseline.LeastInFlight, baseline.StickyPrefix}, Default: pickerAffinity, Help: "how a backend server is chosen"},
	{Section: "routing", Name: "away", Type: settings.Choice, Choices: []string{away.PolicyCost, away.PolicyLocal, away.PolicyCheapest}, Default: away.PolicyCost, Help: "when requests are forwarded to other regions"},
	{Section: "routing", Name: "second_value", Type: settings.Float, Default: "1", Max: 1e6, Help: "cost of one second of waiting, in the currency of prices"},
	{Section: "routing", Name: "away_cost", Type: settings.Float, Default: "0.05", Max: 1e6, Help: "cost of forwarding one request to another region, in the same currency"},
	{Section: "routing", Name: "cold_prefill", Type: settings.Duration, Default: "60ms", Max: 600, Help: "extra prefill time on a cold cache for 1,000 bytes of prompt"},
	{Section: "tls", Name: "certificate", Type: settings.Text, Help: "certificate for peer connections, PEM"},
	{Section: "tls", Name: "key", Type: settings.Text, Help: "private key of the certificate, PEM"},
	{Section: "tls", Name: "authority", Type: settings.Text, Help: "CA certificate that peers' certificates are verified against, PEM"},
	{Section: "tls", Name: "callers", Type: settings.Bool, Default: "false", Help: "serve callers over TLS, too"},
}

// check rejects settings that would serve peers or operators without TLS off loopback.
func check(v *settings.Values) error {
	if v.Text("tls", "certificate") != "" {
		return nil
	}
	if peer := v.Text("listen", "peer"); !keypair.Loopback(peer) {
		return fmt.Errorf("[listen] peer: %s is not loopback, expected [tls] certificate, key and authority", peer)
	}
	return checkOperator(v.Text("listen", "operator"))
}

// checkOperator rejects an operator listener off loopback, as it does not check tokens.
func checkOperator(address string) error {
	if !keypair.Loopback(address) {
		return fmt.Errorf("[listen] operator: expected a loopback address, got %s", address)
	}
	return nil
}
