package systemtest

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"wheelgauge"
	"wheelgauge/fake/directory"
	"wheelgauge/load"
	"wheelgauge/opsclient"
	"wheelgauge/peerhttp"
)

// tlsINI issues a certificate for a host and returns the settings that name its files.
func (d *deployment) tlsINI(n *node) string {
	if !d.topology.tls {
		return ""
	}
	dir := filepath.Join(d.dir, "certs")
	if out, err := command("wheelgaugectl", "certs", n.name, n.ip, n.proxyIP, "--dir", dir); err != nil {
		d.t.Fatalf("certs: %v\n%s", err, out)
	}
	return fmt.Sprintf("[tls]\ncertificate = %[1]s/%[2]s.pem\nkey = %[1]s/%[2]s.key\nauthority = %[1]s/authority.pem\n", dir, n.name)
}

func (d *deployment) writeFiles() {
	writeFile(d.t, d.dir, "operators.ini", fmt.Sprintf("[operator-a]\ntoken = %s\nrole = write\n[reader]\ntoken = %s\nrole = read\n", writeToken, readToken))
	var stores []string
	for _, n := range d.storeNodes() {
		stores = append(stores, fmt.Sprintf("%s:%d", n.proxyIP, portStorePeer))
	}
	for _, n := range d.storeNodes() {
		writeFile(d.t, n.dir, "store.ini", d.storeINI(n, stores)+d.tlsINI(n))
	}
	for _, n := range d.nodes {
		writeFile(d.t, n.dir, "gateway.ini", d.gatewayINI(n, d.ownStoreFirst(n, stores))+d.tlsINI(n))
	}
	d.operator = opsclient.New(d.operatorAddresses(), writeToken, d.operatorTLS())
	d.writeClients()
}

// operatorAddresses returns the addresses of the stores' operator listeners.
func (d *deployment) operatorAddresses() []string {
	var out []string
	for _, n := range d.storeNodes() {
		out = append(out, fmt.Sprintf("%s:%d", n.ip, portStoreOps))
	}
	return out
}

// operatorTLS returns the TLS settings of the operator client; nil without TLS.
func (d *deployment) operatorTLS() peerhttp.Secure {
	if !d.topology.tls {
		return nil
	}
	data, err := os.ReadFile(filepath.Join(d.dir, "certs", "authority.pem"))
	if err != nil {
		d.t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(data)
	return func(host string) *tls.Config {
		return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool, ServerName: host}
	}
}

// ownStoreFirst returns the stores with that of the node's own region first.
func (d *deployment) ownStoreFirst(n *node, stores []string) []string {
	var out []string
	for i, s := range d.storeNodes() {
		if s.region == n.region {
			out = append([]string{stores[i]}, out...)
			continue
		}
		out = append(out, stores[i])
	}
	return out
}

func (d *deployment) storeINI(n *node, stores []string) string {
	text := fmt.Sprintf(`[store]
name = %s
region = %s
source = %s
folder = %s
peers = %s
tokens = %s
%s
[listen]
peer = %s:%d
advertised = %s:%d
operator = %s:%d
[orders]
%s
[log]
level = debug
`, n.name, n.region, n.ip, filepath.Join(n.dir, "store"), strings.Join(stores, ","), filepath.Join(d.dir, "operators.ini"),
		d.shortIntervals("tick = 20ms\nheartbeat = 200ms"), n.ip, portStorePeer, n.proxyIP, portStorePeer, n.ip, portStoreOps, d.shortIntervals("interval = 200ms\nload_limit = 5s"))
	return text
}

// shortIntervals returns the given settings, or nothing with production intervals.
func (d *deployment) shortIntervals(quick string) string {
	if d.topology.productionIntervals {
		return ""
	}
	return quick
}

func (d *deployment) gatewayINI(n *node, stores []string) string {
	var peers []string
	for _, o := range d.nodes {
		if o.region == n.region && o != n {
			peers = append(peers, fmt.Sprintf("%s:%d", o.proxyIP, portPeer))
		}
	}
	return fmt.Sprintf(`[host]
name = %s
region = %s
hall = %s-hall
source = %s
[listen]
caller = %s:%d
peer = %s:%d
operator = %s:%d
read_timeout = 3s
[stores]
addresses = %s
%s
[peers]
addresses = %s
[platform]
directory = 127.%d.250.1:9201
host_list = 127.%d.250.1:9202
[drain]
%s
[entry]
%s
[members]
%s
[log]
level = debug
%s
`, n.name, n.region, n.region, n.ip, n.ip, portCaller, n.ip, portPeer, n.ip, portOperator, strings.Join(stores, ","),
		d.shortIntervals("wait = 400ms\nsilent = 600ms"), strings.Join(peers, ","), d.block, d.block,
		d.shortIntervals("notice = 700ms"), d.shortIntervals("ttl = 300ms"), d.shortIntervals("heartbeat = 200ms"), d.topology.gatewaySettings)
}

func (d *deployment) classOf(region string, i int) string {
	if d.topology.clientClass == nil {
		return "standard"
	}
	return d.topology.clientClass(region, i)
}

func (d *deployment) writeClients() {
	var clients []directory.Client
	for _, region := range d.topology.regions {
		for i := range clientsPerRegion {
			name := load.ClientName(region, i)
			clients = append(clients, directory.Client{Credential: load.CredentialOf(name), Identity: wheelgauge.Identity{Client: name, Class: d.classOf(region, i), Home: region}})
		}
	}
	data, err := json.Marshal(clients)
	if err != nil {
		d.t.Fatal(err)
	}
	writeFile(d.t, d.dir, "clients.json", string(data))
}
