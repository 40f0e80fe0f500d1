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

// tlsINI issues a certificate for a host and names its files.
func (d *deployment) tlsINI(n *node) string {
	if !d.s.tls {
		return ""
	}
	dir := filepath.Join(d.dir, "certs")
	if out, err := command("wheelgaugectl", "certs", n.name, n.ip, n.front, "--dir", dir); err != nil {
		d.t.Fatalf("certs: %v\n%s", err, out)
	}
	return fmt.Sprintf("[tls]\ncertificate = %[1]s/%[2]s.pem\nkey = %[1]s/%[2]s.key\nauthority = %[1]s/authority.pem\n", dir, n.name)
}

func (d *deployment) writeFiles() {
	write(d.t, d.dir, "operators.ini", fmt.Sprintf("[operator-a]\ntoken = %s\nrole = write\n[reader]\ntoken = %s\nrole = read\n", writeToken, readToken))
	var stores []string
	for _, n := range d.storeNodes() {
		stores = append(stores, fmt.Sprintf("%s:%d", n.front, portStorePeer))
	}
	for _, n := range d.storeNodes() {
		write(d.t, n.dir, "store.ini", d.storeINI(n, stores)+d.tlsINI(n))
	}
	for _, n := range d.nodes {
		write(d.t, n.dir, "gateway.ini", d.gatewayINI(n, d.storesFrom(n, stores))+d.tlsINI(n))
	}
	d.ops = opsclient.New(d.operators(), writeToken, d.secure())
	d.writeClients()
}

// operators returns the addresses of the stores' operator listeners.
func (d *deployment) operators() []string {
	var out []string
	for _, n := range d.storeNodes() {
		out = append(out, fmt.Sprintf("%s:%d", n.ip, portStoreOps))
	}
	return out
}

// secure is how operators check the stores; nil without TLS.
func (d *deployment) secure() peerhttp.Secure {
	if !d.s.tls {
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

// storesFrom puts the store of the node's own region first.
func (d *deployment) storesFrom(n *node, stores []string) []string {
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
		d.pace("tick = 20ms\nheartbeat = 200ms"), n.ip, portStorePeer, n.front, portStorePeer, n.ip, portStoreOps, d.pace("interval = 200ms\nload_limit = 5s"))
	return text
}

func (d *deployment) pace(quick string) string {
	if d.s.real {
		return ""
	}
	return quick
}

func (d *deployment) gatewayINI(n *node, stores []string) string {
	var peers []string
	for _, o := range d.nodes {
		if o.region == n.region && o != n {
			peers = append(peers, fmt.Sprintf("%s:%d", o.front, portPeer))
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
		d.pace("wait = 400ms\nsilent = 600ms"), strings.Join(peers, ","), d.block, d.block,
		d.pace("notice = 700ms"), d.pace("ttl = 300ms"), d.pace("heartbeat = 200ms"), d.s.gateway)
}

func (d *deployment) classOf(region string, i int) string {
	if d.s.class == nil {
		return "standard"
	}
	return d.s.class(region, i)
}

func (d *deployment) writeClients() {
	var clients []directory.Client
	for _, region := range d.s.regions {
		for i := range perRegion {
			name := load.ClientName(region, i)
			clients = append(clients, directory.Client{Credential: load.CredentialOf(name), Identity: wheelgauge.Identity{Client: name, Class: d.classOf(region, i), Home: region}})
		}
	}
	data, err := json.Marshal(clients)
	if err != nil {
		d.t.Fatal(err)
	}
	write(d.t, d.dir, "clients.json", string(data))
}
