package systemtest

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/load"
	"wheelgauge/opsclient"
	"wheelgauge/storeapi"
)

const (
	portCaller    = 8080
	portPeer      = 8081
	portOperator  = 8082
	portStorePeer = 8091
	portStoreOps  = 8092
	portServer    = 9000

	writeToken       = "write-token-of-the-test"
	readToken        = "read-token-of-the-test"
	readyTimeout     = 30 * time.Second
	applyTimeout     = 2 * time.Minute
	clientsPerRegion = 6
	firstEngineHost  = 50
	firstServiceHost = 80
)

// firstBlock separates the addresses of simultaneous runs on one machine.
var firstBlock = flag.Int("first-block", 20, "deployments use the addresses 127.N+1.0.0/16 and following")

// lastBlock counts the deployments: each one uses its own second byte of the
// 127.0.0.0/8 range.
var lastBlock atomic.Int64

// topology is the size of a deployment and its settings.
type topology struct {
	regions     []string
	hosts       []int // entry hosts per region; the first of each also runs a store
	engines     []int
	services    []int
	prices      []float64
	slots       int
	linkLatency time.Duration
	// gatewaySettings is INI text added to the settings of every gateway.
	gatewaySettings string
	engineArgs      []string
	serviceArgs     []string
	// productionIntervals keeps the default intervals instead of the short ones for tests.
	productionIntervals bool
	// regionBound reports whether a client has a residency rule for its home region.
	regionBound func(region string, i int) bool
	// clientClass returns the class of a client; "standard" if nil.
	clientClass func(region string, i int) string
	// tls makes peers and operators use certificates.
	tls bool
	// checksFences declares in the configuration that the engines check fences.
	checksFences bool
	// exclusive keeps other tests from running in parallel with this one.
	exclusive bool
}

func dispatchTopology() topology {
	return topology{
		regions: []string{"karachi", "lahore", "peshawar"}, hosts: []int{3, 3, 2}, engines: []int{4, 4, 4}, services: []int{1, 1, 1},
		prices: []float64{1, 1.2, 0.9}, slots: 8, linkLatency: 55 * time.Millisecond,
	}
}

func parklineTopology() topology {
	s := dispatchTopology()
	s.regions = []string{"accra", "kumasi", "takoradi"}
	s.prices = []float64{1, 0.6, 0.8}
	return s
}

// smallTopology has one gateway and one store per region, enough for most failures.
func smallTopology() topology {
	return topology{
		regions: []string{"karachi", "lahore", "peshawar"}, hosts: []int{1, 1, 1}, engines: []int{1, 1, 1}, services: []int{1, 1, 1},
		prices: []float64{1, 1, 1}, slots: 8, linkLatency: 5 * time.Millisecond,
	}
}

// node is one entry host.
type node struct {
	name    string
	region  string
	ip      string
	proxyIP string
	gateway *process
	store   *process
	dir     string
}

// server is one backend server.
type server struct {
	name    string
	region  string
	pool    string
	addr    string
	process *process
}

// deployment is a complete running system with stand-ins for the backend servers,
// the client directory and the platform's host list.
type deployment struct {
	t        testing.TB
	topology topology
	block    int
	dir      string
	network  *network
	nodes    []*node
	servers  []*server
	operator *opsclient.Client

	directory *process
}

func (d *deployment) ip(region, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.block, region+1, host)
}

// prepare writes all settings and starts the stand-ins, but no store or gateway.
func prepare(t testing.TB, s topology) *deployment {
	t.Helper()
	if test, ok := t.(*testing.T); ok && !s.exclusive {
		test.Parallel()
	}
	d := &deployment{t: t, topology: s, block: *firstBlock + int(lastBlock.Add(1))%200, dir: t.TempDir()}
	d.network = newNetwork(t, d.linkBetween)
	for r, region := range s.regions {
		for h := range s.hosts[r] {
			d.addNode(r, h, region)
		}
		for e := range s.engines[r] {
			d.servers = append(d.servers, &server{name: fmt.Sprintf("engine-%s-%d", region, e), region: region, pool: "engines", addr: fmt.Sprintf("%s:%d", d.ip(r, firstEngineHost+e), portServer)})
		}
		for e := range s.services[r] {
			d.servers = append(d.servers, &server{name: fmt.Sprintf("service-%s-%d", region, e), region: region, pool: "services", addr: fmt.Sprintf("%s:%d", d.ip(r, firstServiceHost+e), portServer)})
		}
	}
	d.writeFiles()
	d.startPlatform()
	return d
}

func (d *deployment) addNode(r, h int, region string) {
	n := &node{name: fmt.Sprintf("%s-%d", region, h+1), region: region, ip: d.ip(r, h+1), proxyIP: fmt.Sprintf("127.%d.%d.%d", d.block, 100+r+1, h+1)}
	n.dir = filepath.Join(d.dir, n.name)
	if err := os.MkdirAll(n.dir, 0o700); err != nil {
		d.t.Fatal(err)
	}
	d.network.proxy(fmt.Sprintf("%s:%d", n.proxyIP, portPeer), fmt.Sprintf("%s:%d", n.ip, portPeer), n.ip)
	if h == 0 {
		d.network.proxy(fmt.Sprintf("%s:%d", n.proxyIP, portStorePeer), fmt.Sprintf("%s:%d", n.ip, portStorePeer), n.ip)
	}
	d.nodes = append(d.nodes, n)
}

// linkBetween adds the link latency between hosts of different regions.
func (d *deployment) linkBetween(from, to string) linkRule {
	if regionByte(from) == regionByte(to) {
		return linkRule{}
	}
	return linkRule{delay: d.topology.linkLatency}
}

func regionByte(ip string) string { return strings.Split(ip, ".")[2] }

func (d *deployment) storeNodes() []*node {
	var out []*node
	for _, n := range d.nodes {
		if strings.HasSuffix(n.name, "-1") {
			out = append(out, n)
		}
	}
	return out
}

func (d *deployment) node(name string) *node {
	d.t.Helper()
	for _, n := range d.nodes {
		if n.name == name {
			return n
		}
	}
	d.t.Fatalf("no node %s", name)
	return nil
}

func (d *deployment) server(name string) *server {
	d.t.Helper()
	for _, s := range d.servers {
		if s.name == name {
			return s
		}
	}
	d.t.Fatalf("no server %s", name)
	return nil
}

// ips returns the addresses of the hosts of a region, or with others those of all
// hosts outside it.
func (d *deployment) ips(region string, others bool) []string {
	var out []string
	for _, n := range d.nodes {
		if (n.region == region) != others {
			out = append(out, n.ip)
		}
	}
	return out
}

// isolateRegion partitions a region from all others.
func (d *deployment) isolateRegion(region string) {
	d.network.partition(d.ips(region, false), d.ips(region, true))
}

func (d *deployment) startPlatform() {
	d.directory = start(d.t, "directory", "wheelgauge-fake", "directory", "--address", fmt.Sprintf("127.%d.250.1:9201", d.block), "--clients", filepath.Join(d.dir, "clients.json"))
	start(d.t, "host list", "wheelgauge-fake", "hosts", "--address", fmt.Sprintf("127.%d.250.1:9202", d.block), "--lag", "3s")
	for _, s := range d.servers {
		d.startServer(s)
	}
}

func (d *deployment) startServer(s *server) {
	if s.pool == "engines" {
		args := append([]string{"engine", "--address", s.addr, "--slots", fmt.Sprint(d.topology.slots)}, d.topology.engineArgs...)
		s.process = start(d.t, s.name, "wheelgauge-fake", args...)
		return
	}
	args := append([]string{"service", "--address", s.addr, "--name", s.name}, d.topology.serviceArgs...)
	s.process = start(d.t, s.name, "wheelgauge-fake", args...)
}

func (d *deployment) startStore(n *node) {
	n.store = start(d.t, "store "+n.name, "wheelgauge-store", "--config", filepath.Join(n.dir, "store.ini"))
}

func (d *deployment) startGateway(n *node) {
	n.gateway = start(d.t, "gateway "+n.name, "wheelgauge-gateway", "--config", filepath.Join(n.dir, "gateway.ini"))
}

// initStores creates the state of all stores: the first founds the cluster, the
// others get a claim store only.
func (d *deployment) initStores() {
	for i, n := range d.storeNodes() {
		args := []string{"found", "--config", filepath.Join(n.dir, "store.ini")}
		if i > 0 {
			args = append(args, "--claims-only")
		}
		if out, err := command("wheelgauge-store", args...); err != nil {
			d.t.Fatalf("found: %v\n%s", err, out)
		}
	}
}

// launch starts a complete system and applies its configuration.
func launch(t testing.TB, s topology) *deployment {
	t.Helper()
	d := prepare(t, s)
	d.initStores()
	for _, n := range d.storeNodes() {
		d.startStore(n)
	}
	d.awaitVoters(len(d.storeNodes()))
	d.apply(d.resources())
	for _, n := range d.nodes {
		d.startGateway(n)
	}
	d.awaitReady()
	return d
}

func votersOf(s storeapi.Status) int {
	voters := 0
	for _, m := range s.Replica.Members {
		if m.Voter {
			voters++
		}
	}
	return voters
}

// awaitVoters waits until the cluster has a leader and want voters.
func (d *deployment) awaitVoters(want int) {
	d.t.Helper()
	eventually(d.t, readyTimeout, "stores vote and have a leader", func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		s, err := d.operator.Status(ctx)
		if err != nil {
			return err
		}
		voters := votersOf(s)
		if voters != want || s.Replica.Leader == 0 {
			return fmt.Errorf("%d voters, want %d; leader %d", voters, want, s.Replica.Leader)
		}
		return nil
	})
}

// awaitReady waits until every running gateway has a configuration and sees all
// servers and regions.
func (d *deployment) awaitReady() {
	d.t.Helper()
	for _, n := range d.nodes {
		if n.gateway == nil || n.gateway.exited {
			continue
		}
		eventually(d.t, readyTimeout, n.name+" is ready", func() error { return d.checkReady(n) })
	}
}

func (d *deployment) checkReady(n *node) error {
	var s struct {
		Generation uint64 `json:"generation"`
		Servers    []struct {
			Name  string `json:"n"`
			Alive bool   `json:"a"`
		} `json:"servers"`
		Regions []struct {
			Hosts int `json:"h"`
		} `json:"regions"`
	}
	if err := getJSON(fmt.Sprintf("http://%s:%d/status", n.ip, portOperator), &s); err != nil {
		return err
	}
	if s.Generation == 0 {
		return fmt.Errorf("no configuration")
	}
	for _, sv := range s.Servers {
		if !sv.Alive {
			return fmt.Errorf("not all of %d servers are seen alive", len(s.Servers))
		}
	}
	for _, rg := range s.Regions {
		if rg.Hosts == 0 {
			return fmt.Errorf("not all of %d regions have a live host", len(s.Regions))
		}
	}
	return nil
}

func getJSON(url string, out any) error {
	client := &http.Client{Timeout: 3 * time.Second}
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", url, resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

func spec(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// resources is the configuration of the deployment.
func (d *deployment) resources() []wheelgauge.Resource {
	var out []wheelgauge.Resource
	add := func(kind wheelgauge.Kind, name string, v any) {
		out = append(out, wheelgauge.Resource{Kind: kind, Name: name, Spec: spec(v)})
	}
	for r, region := range d.topology.regions {
		links := map[string]float64{}
		for _, other := range d.topology.regions {
			if other != region {
				links[other] = float64(d.topology.linkLatency.Milliseconds())
			}
		}
		add(wheelgauge.KindRegion, region, wheelgauge.RegionSpec{Price: d.topology.prices[r], LinkDelaysMS: links, ClaimHost: region + "-1"})
		add(wheelgauge.KindHall, region+"-hall", wheelgauge.HallSpec{Region: region})
	}
	for _, n := range d.nodes {
		h := wheelgauge.HostSpec{Region: n.region, Hall: n.region + "-hall", CallerAddress: fmt.Sprintf("%s:%d", n.ip, portCaller), PeerAddress: fmt.Sprintf("%s:%d", n.proxyIP, portPeer)}
		if strings.HasSuffix(n.name, "-1") {
			h.StoreAddress = fmt.Sprintf("%s:%d", n.proxyIP, portStorePeer)
		}
		add(wheelgauge.KindHost, n.name, h)
	}
	add(wheelgauge.KindPool, "engines", wheelgauge.PoolSpec{Type: wheelgauge.PoolEngine})
	add(wheelgauge.KindPool, "services", wheelgauge.PoolSpec{Type: wheelgauge.PoolService})
	for _, s := range d.servers {
		slots := d.topology.slots
		if s.pool == "services" {
			slots = 64
		}
		add(wheelgauge.KindBackendServer, s.name, wheelgauge.BackendServerSpec{
			Pool: s.pool, Region: s.region, Hall: s.region + "-hall", Address: s.addr, Slots: slots, ChecksFences: d.topology.checksFences,
		})
	}
	for _, model := range []string{"large", "small"} {
		add(wheelgauge.KindModel, model, wheelgauge.ModelSpec{Versions: []string{"1"}})
		add(wheelgauge.KindRoute, model, wheelgauge.RouteSpec{Model: model, Pool: "engines"})
	}
	add(wheelgauge.KindRoute, "lookup", wheelgauge.RouteSpec{Path: "lookup/", Pool: "services"})
	add(wheelgauge.KindRoute, "book", wheelgauge.RouteSpec{Path: "book/", Pool: "services", NotRepeatable: true})
	add(wheelgauge.KindClientClass, "standard", wheelgauge.ClientClassSpec{Priority: 5})
	for _, region := range d.topology.regions {
		for i := range clientsPerRegion {
			if d.topology.regionBound != nil && d.topology.regionBound(region, i) {
				name := load.ClientName(region, i)
				add(wheelgauge.KindResidencyRule, "bound-"+name, wheelgauge.ResidencyRuleSpec{Client: name, Regions: []string{region}})
			}
		}
	}
	return out
}

// apply writes resources as an operator would and returns the newest generation. A
// change whose result is unknown is sent again under the same ID: all stores of a
// deployment share one disk, where a sync takes some seconds while other programs
// write.
func (d *deployment) apply(list []wheelgauge.Resource) uint64 {
	d.t.Helper()
	var newest uint64
	for _, r := range list {
		result, err := d.changeUntilMade(d.operator, putChange(r))
		if err != nil {
			d.t.Fatalf("apply %s %s: %v", r.Kind, r.Name, err)
		}
		newest = max(newest, result.Generation)
	}
	return newest
}

// put sends one change; only the operator client's own retries apply.
func (d *deployment) put(r wheelgauge.Resource) (wheelgauge.ChangeResult, error) {
	return d.change(putChange(r))
}

func putChange(r wheelgauge.Resource) wheelgauge.Change {
	return wheelgauge.Change{ID: opsclient.NewChangeID(), Op: wheelgauge.OpPut, Kind: r.Kind, Name: r.Name, Spec: r.Spec}
}

func (d *deployment) change(c wheelgauge.Change) (wheelgauge.ChangeResult, error) {
	return changeOnce(d.operator, c)
}

func changeOnce(operator *opsclient.Client, c wheelgauge.Change) (wheelgauge.ChangeResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return operator.Change(ctx, c, false)
}

// changeUntilMade sends a change again while its outcome is not known, as the answer asks for, unless
// it is refused.
func (d *deployment) changeUntilMade(operator *opsclient.Client, c wheelgauge.Change) (wheelgauge.ChangeResult, error) {
	for end := time.Now().Add(applyTimeout); ; time.Sleep(20 * time.Millisecond) {
		result, err := changeOnce(operator, c)
		if err == nil || wheelgauge.AsError(err).Status() < http.StatusInternalServerError || time.Now().After(end) {
			return result, err
		}
	}
}

// awaitInForce waits until a generation is in force at every host.
func (d *deployment) awaitInForce(generation uint64) {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	if err := d.operator.WaitApplied(ctx, generation); err != nil {
		d.t.Fatal(err)
	}
}

// executions returns how often the running services executed each reference.
func (d *deployment) executions() map[string]int {
	out := map[string]int{}
	for _, s := range d.servers {
		if s.pool != "services" || s.process.exited {
			continue
		}
		counts := map[string]int{}
		if err := getJSON("http://"+s.addr+"/counts", &counts); err != nil {
			d.t.Fatal(err)
		}
		for ref, n := range counts {
			out[ref] += n
		}
	}
	return out
}
