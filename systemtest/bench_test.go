//go:build bench

package systemtest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"wheelgauge"
	"wheelgauge/load"
)

const ticksPerSecond = 100 // clock ticks of /proc/PID/stat on Linux

// cpuTime returns the user and system CPU time of a process.
func (p *process) cpuTime() time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	field := strings.Fields(string(data[strings.LastIndex(string(data), ")")+2:]))
	user, _ := strconv.Atoi(field[11])
	system, _ := strconv.Atoi(field[12])
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// residentBytes returns the resident set size of a process.
func (p *process) residentBytes() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	pages, _ := strconv.ParseInt(strings.Fields(string(data))[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

func quantile(sample []time.Duration, q float64) time.Duration {
	slices.Sort(sample)
	return sample[min(len(sample)-1, int(q*float64(len(sample))))]
}

func benchTopology() topology {
	s := smallTopology()
	s.exclusive = true
	s.productionIntervals = true
	s.slots = 8000
	s.engineArgs = []string{"--step", "1ms", "--prefill", "100000", "--queue", "8000"}
	s.serviceArgs = []string{"--time", "0s"}
	return s
}

var keepAliveClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096, MaxIdleConns: 8192}}

// timeRequest sends one request and returns the time until the response is read.
func timeRequest(t testing.TB, method, url, client, body string) time.Duration {
	started := time.Now()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+load.CredentialOf(client))
	resp, err := keepAliveClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d, %v", resp.StatusCode, err)
	}
	_ = resp.Body.Close()
	return time.Since(started)
}

// TestBenchAddedLatency measures the latency that a gateway adds to a backend call.
// Direct and proxied calls alternate within one run.
func TestBenchAddedLatency(t *testing.T) {
	d := launch(t, benchTopology())
	n, engine, service := d.node("karachi-1"), d.server("engine-karachi-0"), d.server("service-karachi-0")
	body := chat("", "a short question", 1).body
	tests := []struct {
		name            string
		method          string
		direct, through string
		body            string
	}{
		{"plain service", "GET", "http://" + service.addr + "/lookup/1", d.url(n, "/s/lookup/1"), ""},
		{"engine, one token streamed", "POST", "http://" + engine.addr + "/v1/chat/completions", d.url(n, "/v1/chat/completions"), body},
	}
	const rounds = 4000
	for _, tt := range tests {
		var direct, through []time.Duration
		for i := range rounds {
			a := timeRequest(t, tt.method, tt.direct, testClient("karachi"), tt.body)
			b := timeRequest(t, tt.method, tt.through, testClient("karachi"), tt.body)
			if i > 200 {
				direct, through = append(direct, a), append(through, b)
			}
		}
		t.Logf("%s: direct p50 %s p99 %s; through the gateway p50 %s p99 %s; added p50 %s p99 %s", tt.name,
			quantile(direct, .5), quantile(direct, .99), quantile(through, .5), quantile(through, .99),
			quantile(through, .5)-quantile(direct, .5), quantile(through, .99)-quantile(direct, .99))
	}
}

// TestBenchThroughput measures requests and streamed tokens per second of CPU time.
func TestBenchThroughput(t *testing.T) {
	d := launch(t, benchTopology())
	n := d.node("karachi-1")
	var sent atomic.Int64
	before, started := n.gateway.cpuTime(), time.Now()
	runWorkers(t, 8*time.Second, 32, func() {
		timeRequest(t, "GET", d.url(n, "/s/lookup/1"), testClient("karachi"), "")
		sent.Add(1)
	})
	used := n.gateway.cpuTime() - before
	t.Logf("plain requests: %d in %s, %.0f/s, gateway used %s CPU time: %.0f requests per CPU second", sent.Load(), time.Since(started).Round(time.Millisecond),
		float64(sent.Load())/time.Since(started).Seconds(), used, float64(sent.Load())/used.Seconds())

	var tokens atomic.Int64
	before, started = n.gateway.cpuTime(), time.Now()
	runWorkers(t, 8*time.Second, 64, func() {
		timeRequest(t, "POST", d.url(n, "/v1/chat/completions"), testClient("karachi"), chat("", "tokens", 200).body)
		tokens.Add(200)
	})
	used = n.gateway.cpuTime() - before
	t.Logf("streams: %d tokens in %s, %.0f/s, gateway used %s CPU time: %.0f tokens per CPU second", tokens.Load(), time.Since(started).Round(time.Millisecond),
		float64(tokens.Load())/time.Since(started).Seconds(), used, float64(tokens.Load())/used.Seconds())
}

// runWorkers calls f repeatedly from several goroutines for the given time.
func runWorkers(t testing.TB, length time.Duration, workers int, f func()) {
	t.Helper()
	end := time.Now().Add(length)
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for time.Now().Before(end) && !t.Failed() {
				f()
			}
		})
	}
	group.Wait()
}

// TestBenchStreams measures a gateway's memory and CPU usage by the number of open
// streams, with 28 ms between tokens.
func TestBenchStreams(t *testing.T) {
	s := benchTopology()
	s.engineArgs = []string{"--step", "28ms", "--prefill", "1000000", "--queue", "8000"}
	d := launch(t, s)
	n := d.node("karachi-1")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	t.Logf("0 streams: %.1f MB", float64(n.gateway.residentBytes())/1e6)
	var group sync.WaitGroup
	for step := 1; step <= 3; step++ {
		for range 1000 {
			group.Go(func() { holdStream(ctx, d, n) })
		}
		time.Sleep(6 * time.Second)
		before := n.gateway.cpuTime()
		time.Sleep(4 * time.Second)
		t.Logf("%d streams: %.1f MB, %.1f%% of a core", step*1000, float64(n.gateway.residentBytes())/1e6, 100*(n.gateway.cpuTime()-before).Seconds()/4)
	}
	cancel()
	group.Wait()
}

// holdStream keeps one stream open until ctx ends.
func holdStream(ctx context.Context, d *deployment, n *node) {
	c := chat(testClient("karachi"), "held open", 5000)
	req, err := http.NewRequestWithContext(ctx, c.method, d.url(n, c.path), strings.NewReader(c.body))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+load.CredentialOf(c.client))
	resp, err := callerClient.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, bufio.NewReader(resp.Body)) // ends with ctx
}

// TestBenchControlPlane measures the control-plane load on a gateway and on the
// region's hub by the number of hosts and backend servers, at production intervals.
func TestBenchControlPlane(t *testing.T) {
	for _, size := range []struct{ hosts, engines int }{{4, 4}, {8, 12}, {16, 24}, {32, 48}, {64, 96}} {
		t.Run(fmt.Sprintf("%d hosts, %d servers", size.hosts, size.engines), func(t *testing.T) {
			measureControl(t, size.hosts, size.engines)
		})
	}
}

func measureControl(t *testing.T, hosts, engines int) {
	const length = 10 * time.Second
	s := benchTopology()
	s.regions, s.hosts, s.engines, s.services, s.prices = []string{"karachi", "lahore"}, []int{hosts, 1}, []int{engines, 1}, []int{0, 0}, []float64{1, 1}
	s.engineArgs = []string{"--step", "10ms", "--busy"}
	d := launch(t, s)
	time.Sleep(3 * time.Second)
	var cpu time.Duration
	var traffic, most, memory int64
	bytesBefore, cpuBefore := map[string]int64{}, map[string]time.Duration{}
	sample := d.nodes[1:hosts]
	for _, n := range d.nodes {
		bytesBefore[n.name], cpuBefore[n.name] = d.network.traffic(n.ip), n.gateway.cpuTime()
	}
	hub := d.node("karachi-1")
	storeCPU := hub.store.cpuTime()
	time.Sleep(length)
	for _, n := range sample {
		hostBytes := d.network.traffic(n.ip) - bytesBefore[n.name]
		traffic += hostBytes
		most = max(most, hostBytes)
		cpu += n.gateway.cpuTime() - cpuBefore[n.name]
		memory += n.gateway.residentBytes()
	}
	k := float64(len(sample))
	t.Logf("gateway: %.2f KB/s (most %.2f), %.3f%% of a core, %.1f MB; hub host: %.1f KB/s, store %.2f%% of a core, %.1f MB",
		float64(traffic)/k/length.Seconds()/1000, float64(most)/length.Seconds()/1000, 100*cpu.Seconds()/k/length.Seconds(), float64(memory)/k/1e6,
		float64(d.network.traffic(hub.ip)-bytesBefore[hub.name])/length.Seconds()/1000, 100*(hub.store.cpuTime()-storeCPU).Seconds()/length.Seconds(), float64(hub.store.residentBytes())/1e6)
}

// TestBenchStore measures changes with links of 55 ms: throughput, time until in
// force, time to the next change after the leader is lost, rejoin after a restart,
// and the cost of a claim.
func TestBenchStore(t *testing.T) {
	s := dispatchTopology()
	s.exclusive, s.productionIntervals = true, true
	d := launch(t, s)
	var inForce []time.Duration
	for i := range 30 {
		result := d.apply([]wheelgauge.Resource{class("timed", i%10)})
		inForce = append(inForce, d.timeUntilInForce(result))
	}
	t.Logf("in force at all 8 hosts after the response: median %s, worst %s of %d", quantile(inForce, .5), quantile(inForce, 1), len(inForce))

	started := time.Now()
	d.putMany(d.leader(), 1000)
	t.Logf("changes: %.0f per second, %d writers", 1000/time.Since(started).Seconds(), putManyWriters)

	var claims, plain []time.Duration
	n := d.node("karachi-1")
	for i := range 100 {
		began := time.Now()
		if r := d.send(n, book(testClient("karachi"), fmt.Sprint("timed-", i), newKey())); r.status != http.StatusOK {
			t.Fatal(r)
		}
		claims = append(claims, time.Since(began))
		began = time.Now()
		if r := d.send(n, book(testClient("karachi"), fmt.Sprint("plain-", i), "")); r.status != http.StatusOK {
			t.Fatal(r)
		}
		plain = append(plain, time.Since(began))
	}
	t.Logf("booking with a claim in the home region: p50 %s p99 %s; without a key: p50 %s p99 %s", quantile(claims, .5), quantile(claims, .99), quantile(plain, .5), quantile(plain, .99))

	var downtimes []time.Duration
	for range 5 {
		leader := d.leader()
		leader.store.kill()
		began := time.Now()
		d.apply([]wheelgauge.Resource{class("after", int(began.UnixNano()%10))})
		downtimes = append(downtimes, time.Since(began))
		d.startStore(leader)
		d.awaitStore(leader, 1)
	}
	t.Logf("kill of the leader to the next accepted change: median %s, worst %s of %d", quantile(downtimes, .5), quantile(downtimes, 1), len(downtimes))

	// A change is made while one region is partitioned.
	d.isolateRegion("peshawar")
	result := d.apply([]wheelgauge.Resource{class("inside", 3)})
	time.Sleep(3 * time.Second)
	d.network.heal()
	t.Logf("in force everywhere after the partition heals: %s", d.timeUntilInForce(result))

	for _, changes := range []int{0, 2000, 4000} {
		d.putMany(d.leader(), max(1, changes))
		restarted := d.node("lahore-1")
		restarted.store.kill()
		began := time.Now()
		d.startStore(restarted)
		d.awaitStore(restarted, 1)
		t.Logf("restart and rejoin after %d more changes: %s", changes, time.Since(began).Round(time.Millisecond))
	}
}

func (d *deployment) timeUntilInForce(generation uint64) time.Duration {
	began := time.Now()
	for _, n := range d.nodes {
		for {
			if g, err := d.generation(n); err == nil && g >= generation {
				break
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(began)
}

// TestBenchConfig measures a small deployment with a configuration of the expected
// future size: 5 regions, 16 halls, 410 hosts, 600 backend servers, 890 classes.
func TestBenchConfig(t *testing.T) {
	s := smallTopology()
	s.exclusive, s.productionIntervals = true, true
	d := launch(t, s)
	n := d.node("karachi-1")
	t.Logf("%d resources: gateway %.1f MB, store %.1f MB", len(d.resources()), float64(n.gateway.residentBytes())/1e6, float64(n.store.residentBytes())/1e6)
	list := largeConfiguration()
	group := errgroup.Group{}
	group.SetLimit(putManyWriters)
	began := time.Now()
	for _, r := range list {
		if r.Kind != wheelgauge.KindRegion && r.Kind != wheelgauge.KindHall && r.Kind != wheelgauge.KindModel {
			group.Go(func() error { _, err := d.put(r); return err })
			continue
		}
		if _, err := d.put(r); err != nil {
			t.Fatal(err)
		}
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	t.Logf("%d resources applied in %s", len(list), time.Since(began).Round(time.Millisecond))
	time.Sleep(5 * time.Second)
	t.Logf("with the large configuration: gateway %.1f MB, store %.1f MB", float64(n.gateway.residentBytes())/1e6, float64(n.store.residentBytes())/1e6)
	before, bytesBefore := n.gateway.cpuTime(), d.network.traffic(n.ip)
	const changes = 50
	var inForce []time.Duration
	for i := range changes {
		result := d.apply([]wheelgauge.Resource{class("class-1", i%10)})
		inForce = append(inForce, d.timeUntilInForce(result))
	}
	t.Logf("one change: in force after median %s worst %s; gateway %.1f ms of CPU time, %.1f KB of traffic at its host (gateway and store)", quantile(inForce, .5), quantile(inForce, 1),
		(n.gateway.cpuTime()-before).Seconds()*1000/changes, float64(d.network.traffic(n.ip)-bytesBefore)/1000/changes)
	n.gateway.kill()
	began = time.Now()
	d.startGateway(n)
	eventually(t, readyTimeout, "the gateway has a configuration again", func() error {
		if g, err := d.generation(n); err != nil || g == 0 {
			return fmt.Errorf("at %d, %v", g, err)
		}
		return nil
	})
	t.Logf("restart of the gateway: configuration in force after %s, %.1f MB", time.Since(began).Round(time.Millisecond), float64(n.gateway.residentBytes())/1e6)
	n.store.kill()
	began = time.Now()
	d.startStore(n)
	d.awaitStore(n, 1)
	time.Sleep(3 * time.Second)
	t.Logf("restart of the store: %.1f MB, log of %d bytes", float64(n.store.residentBytes())/1e6, d.logBytes(n))
}

func (d *deployment) logBytes(n *node) int64 {
	s, err := d.operatorAt(n).Status(context.Background())
	if err != nil {
		d.t.Fatal(err)
	}
	return s.Replica.Bytes
}

// largeConfiguration has the size that is expected within two years.
func largeConfiguration() []wheelgauge.Resource {
	var out []wheelgauge.Resource
	add := func(kind wheelgauge.Kind, name string, v any) {
		out = append(out, wheelgauge.Resource{Kind: kind, Name: name, Spec: spec(v)})
	}
	for r := range 5 {
		add(wheelgauge.KindRegion, fmt.Sprint("region-", r), wheelgauge.RegionSpec{Price: 1})
	}
	for h := range 16 {
		add(wheelgauge.KindHall, fmt.Sprint("hall-", h), wheelgauge.HallSpec{Region: fmt.Sprint("region-", h%5)})
	}
	for m := range 8 {
		add(wheelgauge.KindModel, fmt.Sprint("model-", m), wheelgauge.ModelSpec{Versions: []string{"1"}})
	}
	for h := range 410 {
		add(wheelgauge.KindHost, fmt.Sprint("far-host-", h), wheelgauge.HostSpec{Region: fmt.Sprint("region-", h%5), Hall: fmt.Sprint("hall-", h%16), Caller: "10.0.0.1:8080", Peer: "10.0.0.1:8081"})
	}
	for s := range 600 {
		add(wheelgauge.KindBackendServer, fmt.Sprint("far-engine-", s), wheelgauge.BackendServerSpec{Pool: "engines", Region: fmt.Sprint("region-", s%5), Hall: fmt.Sprint("hall-", s%16), Address: "10.0.0.2:9000", Slots: 16})
	}
	for c := range 890 {
		add(wheelgauge.KindClientClass, fmt.Sprint("class-", c), wheelgauge.ClientClassSpec{Priority: c % 10, Rate: 10, Burst: 20})
	}
	return out
}
