package entrynode

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
	"wheelgauge/changefeed"
	"wheelgauge/confstore"
	"wheelgauge/heartbeat"
	"wheelgauge/native"
	"wheelgauge/peerhttp"
	"wheelgauge/retrybudget"
)

const (
	// narrowLinkRate is that of a link of 10 Mbit/s, in bytes a second.
	narrowLinkRate = 1250 * 1000
	// maxBytesPerChange is what a host may read for one change of the list of servers: 150 kB/s
	// while one server starts and one leaves each half second.
	maxBytesPerChange = 150 * 1000 / 4
	// maxGrowth is how much more the same change may cost where there is more that stays.
	maxGrowth = 1.2
)

// manyServers is a host on a link, with stores and a long list of servers.
type manyServers struct {
	list      *serverList
	stores    []*confstore.Node
	addresses []string
	link      *link
	host      *Node
	// changeBytes is how much of the feed of changes the host has received.
	changeBytes atomic.Int64
}

// openManyServers starts a host on a link of a rate in bytes a second. The first servers of the
// list have services of their own, old-0 and so on.
func openManyServers(t testing.TB, servers, old, rate int) *manyServers {
	t.Helper()
	m := &manyServers{list: &serverList{}, link: &link{rate: rate}, addresses: []string{"127.0.84.1:7803", "127.0.84.2:7803", "127.0.84.3:7803"}}
	for n := range servers {
		service := "s"
		if n < old {
			service = fmt.Sprint("old-", n)
		}
		m.list.list = append(m.list.list, wheelgauge.Server{Instance: fmt.Sprintf("i-%010d", n), Service: service, Version: "v1", Address: fmt.Sprintf("10.%d.%d.9:8784", n/250, n%250), Hall: "n", Slots: 24})
	}
	m.stores = openStores(t, m.list, m.addresses)
	client := peerhttp.NewClient(peerhttp.NewDialer("", nil).WrapConns(m.link.wrap), "")
	client.OnCall(func(path string, _, received int) {
		if path == changefeed.Path {
			m.changeBytes.Add(int64(received))
		}
	})
	n, err := Open(context.Background(), Options{
		Name: "g", Region: "north", Hall: "n", CallerAddress: "127.0.84.4:7801", PeerAddress: "127.0.84.4:7802", Seeds: m.addresses,
		HeartbeatInterval: 150 * time.Millisecond, FarHeartbeatInterval: 500 * time.Millisecond, GracePeriod: time.Second, Budget: retrybudget.Options{Ratio: 0.2, Slack: 50, Window: testTimeout},
		Client: client, DecodeRoutes: native.Decode, Names: native.Headers(), Log: logr.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := n.Close(context.Background()); err != nil {
			t.Error(err)
		}
	})
	m.host = n
	return m
}

// put sends a version with a number of routes until it is acknowledged.
func (m *manyServers) put(t testing.TB, version uint64, routes int) {
	t.Helper()
	body := encodeRoutes(t, version, routes)
	waitFor(t, fmt.Sprint("version ", version, " is acknowledged"), func() bool {
		_, err := m.stores[0].PutRoutes(context.Background(), body)
		return err == nil
	})
}

func (m *manyServers) inForce(version uint64) bool {
	return m.host.gate.RouteTable() != nil && m.host.gate.RouteTable().Version() == version
}

// waitReady waits until the host serves with the whole list.
func (m *manyServers) waitReady(t testing.TB, servers int) {
	t.Helper()
	waitFor(t, "the host serves", func() bool { return m.host.gate.Ready() && m.host.servers.ListedServers("s") == servers })
}

// change starts a server with a service of its own, and lets one with a service of its own leave.
func (m *manyServers) change(n int) {
	fresh := fmt.Sprint("fresh-", n)
	m.list.add(wheelgauge.Server{Instance: fresh, Service: fresh, Version: "v1", Address: "127.0.83.9:9", Hall: "n", Slots: 4})
	m.list.markLeaving(n)
}

// changed reports whether the host knows of a change.
func (m *manyServers) changed(n int) bool {
	return m.host.servers.ListedServers(fmt.Sprint("fresh-", n)) == 1 && !m.host.servers.HasVersion(fmt.Sprint("old-", n), wheelgauge.VersionFilter{})
}

// counter returns a counter of the host.
func (m *manyServers) counter(t testing.TB, name string) float64 {
	t.Helper()
	var data bytes.Buffer
	m.host.meter.WriteJSON(&data)
	var counters map[string]struct {
		Count float64 `json:"count"`
	}
	if err := json.Unmarshal(data.Bytes(), &counters); err != nil {
		t.Fatal(err)
	}
	return counters[name].Count
}

// The list of servers must not be sent whole when one of them changes: 10,000 are a megabyte, and a
// host on a link of 10 Mbit/s was never ready.
func TestOneChangedServerIsSentAlone(t *testing.T) {
	const servers, changes = 10_000, 20
	m := openManyServers(t, servers, changes, narrowLinkRate)
	put := func(version uint64, routes int) {
		m.put(t, version, routes)
		waitFor(t, fmt.Sprint("version ", version, " is in force"), func() bool { return m.inForce(version) })
	}
	put(1, 10)
	m.waitReady(t, servers-changes)
	before := m.link.bytes()
	for i := range changes {
		m.change(i)
		waitFor(t, "one server starts and one leaves", func() bool { return m.changed(i) })
	}
	if got := (m.link.bytes() - before) / (2 * changes); got > maxBytesPerChange {
		t.Errorf("the host read %d bytes for each change of the list, want at most %d", got, maxBytesPerChange)
	}
	var costs []int64
	for version := range uint64(4) {
		before := m.changeBytes.Load() // heartbeats go by the time that it takes
		put(2+version, 1400*int(1+version))
		costs = append(costs, m.changeBytes.Load()-before)
	}
	if first, last := costs[0], costs[3]; first == 0 || float64(last) > maxGrowth*float64(first) {
		t.Errorf("versions with 1,400 routes more each cost the host %d bytes to read, want at most %.1f times the first", costs, maxGrowth)
	}
}

// BenchmarkRelease is a release before fleets of several sizes: one server starts and one leaves
// each half second, one of the other hosts starts again each half second, and the configuration
// grows by 1,400 routes three times. It reports what the host reads, in kB/s, while calm and in the
// release, the worst age of its list and the longest time until a version is in force, in ms, and
// the time that one changed server or host takes the host, in us.
func BenchmarkRelease(b *testing.B) {
	sizes := []struct{ servers, hosts, rate int }{
		{1000, 0, narrowLinkRate},
		{3000, 0, narrowLinkRate},
		{10_000, 0, 5 * narrowLinkRate},
		{10_000, 0, narrowLinkRate},
		{20_000, 0, narrowLinkRate},
		{10_000, 61, narrowLinkRate},
		{10_000, 300, narrowLinkRate},
		{10_000, 985, narrowLinkRate},
		{10_000, 2000, narrowLinkRate},
	}
	for _, s := range sizes {
		b.Run(fmt.Sprintf("%d_servers_%d_hosts_%d_kB", s.servers, s.hosts, s.rate/1000), func(b *testing.B) {
			for b.Loop() {
				playRelease(b, s.servers, s.hosts, s.rate)
			}
		})
	}
}

// playRelease plays one release and reports it.
func playRelease(b *testing.B, servers, hosts, rate int) {
	const half, steps = 500 * time.Millisecond, 20
	m := openManyServers(b, servers, steps, rate)
	fleet := peerhttp.NewClient(nil, "")
	beat := func(host int, boot uint64) {
		name := fmt.Sprintf("frontend-north-hall-%d", host)
		for _, address := range m.addresses {
			hb := wheelgauge.FleetHeartbeat{
				Host:       wheelgauge.FleetHost{Name: name, Region: []string{"north", "south", "west"}[host%3], Hall: "n", CallerAddress: "10.1.0.17:8144", PeerAddress: "10.1.0.17:7660", Boot: boot, Ready: true},
				IntervalMS: time.Hour.Milliseconds(),
			}
			if err := fleet.Call(context.Background(), http.MethodPost, address, heartbeat.Path, hb, nil); err != nil {
				b.Fatal(err)
			}
		}
	}
	for host := range hosts {
		beat(host, 1)
	}
	began := time.Now()
	m.put(b, 1, 1400)
	m.waitReady(b, servers-steps)
	waitFor(b, "all hosts are known", func() bool { return m.counter(b, "update.rows.hosts") >= float64(hosts) })
	ready := time.Since(began)
	rateOf := func(from int, since time.Time) float64 {
		return float64(m.link.bytes()-from) / time.Since(since).Seconds() / 1000
	}
	time.Sleep(2 * half) // the frequent heartbeats after a start end
	from, since := m.link.bytes(), time.Now()
	time.Sleep(6 * half)
	calm := rateOf(from, since)
	rows, took := map[string]float64{}, map[string]float64{}
	for _, kind := range []string{kindServers, kindHosts} {
		rows[kind], took[kind] = m.counter(b, "update.rows."+kind), m.counter(b, "update.us."+kind)
	}
	from, since = m.link.bytes(), time.Now()
	var oldest, slowest time.Duration
	for i := range steps {
		end := time.Now().Add(half)
		m.change(i)
		if hosts > 0 {
			beat(i%hosts, 2)
		}
		if i%6 == 3 {
			version := uint64(2 + i/6)
			m.put(b, version, 1400*int(version))
			acked := time.Now()
			waitFor(b, "the version is in force", func() bool { return m.inForce(version) })
			slowest = max(slowest, time.Since(acked))
		}
		for time.Now().Before(end) {
			oldest = max(oldest, m.host.servers.ListAge())
			time.Sleep(10 * time.Millisecond)
		}
	}
	release := rateOf(from, since)
	waitFor(b, "the last change is known", func() bool { return m.changed(steps - 1) })
	for kind := range rows {
		if n := m.counter(b, "update.rows."+kind) - rows[kind]; n > 0 {
			b.ReportMetric((m.counter(b, "update.us."+kind)-took[kind])/n, "us/"+kind)
		}
	}
	b.ReportMetric(float64(ready.Milliseconds()), "ready-ms")
	b.ReportMetric(calm, "calm-kB/s")
	b.ReportMetric(release, "release-kB/s")
	b.ReportMetric(float64(oldest.Milliseconds()), "age-ms")
	b.ReportMetric(float64(slowest.Milliseconds()), "force-ms")
}
