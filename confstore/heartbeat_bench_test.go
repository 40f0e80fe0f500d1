package confstore

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/changefeed"
	"wheelgauge/configstate"
	"wheelgauge/hallorders"
	"wheelgauge/hosttable"
	"wheelgauge/meter"
	"wheelgauge/serverlimit"
	"wheelgauge/serverlist"
)

// newLoadedNode returns a store with hosts and busy servers of three regions, and the heartbeat
// of its first host.
func newLoadedNode(b *testing.B, hosts, servers int) (*Node, wheelgauge.FleetHeartbeat) {
	regions := []string{"north", "south", "west"}
	n := &Node{o: Options{Clock: wheelgauge.MonotonicClock{}, RegionByHall: map[string]string{}}, machine: configstate.New(), hosts: hosttable.New(time.Now), started: time.Now().Add(-time.Hour), hallOrders: hallorders.New(time.Now)}
	n.servers, n.limits, n.feed, n.meter = serverlist.New(time.Now), serverlimit.New(time.Now), changefeed.New(), meter.New()
	n.feed.Add(wheelgauge.TableHosts, n.hosts.Changes(), true)
	lists := map[string][]wheelgauge.Server{}
	var uses []wheelgauge.ServerUsage
	for i := range servers {
		region := regions[i%3]
		n.o.RegionByHall[region+"-hall"] = region
		s := wheelgauge.Server{Instance: fmt.Sprintf("i-%010d", i), Service: "lm", Address: "10.1.64.30:8128", Hall: region + "-hall", Region: region, Slots: 128}
		lists[region] = append(lists[region], s)
		if region == "north" {
			uses = append(uses, wheelgauge.ServerUsage{Instance: s.Instance, Running: 12, PrefillTokens: 4500})
		}
	}
	for region, list := range lists {
		readList(b, n, region, time.Now(), list)
		n.offerList(region)
	}
	var first wheelgauge.FleetHeartbeat
	for i := range hosts {
		hb := wheelgauge.FleetHeartbeat{
			Host: wheelgauge.FleetHost{
				Name: fmt.Sprintf("frontend-north-hall-%d", i), Region: regions[i%3], Hall: regions[i%3] + "-hall",
				CallerAddress: "10.1.0.17:8144", PeerAddress: "10.1.0.17:7660", Boot: 1 << 60, Ready: true,
			},
			Primary: true, IntervalMS: 500, StoreBoot: 1 << 60,
			ServiceTotals: []wheelgauge.ServiceUsage{{Service: "lm", Running: 40, PrefillTokens: 9000}},
		}
		// A host has requests at only some of the region's servers.
		hb.ServerUsage = uses[:min(len(uses), 12)]
		if err := n.hosts.RecordHeartbeat(hb, time.Hour); err != nil {
			b.Fatal(err)
		}
		if i == 0 {
			first = hb
		}
	}
	return n, first
}

// BenchmarkAnswer measures the cost of one primary heartbeat to a store when nothing has
// changed, and its size on the wire without headers.
func BenchmarkAnswer(b *testing.B) {
	sizes := []struct{ hosts, servers int }{{8, 15}, {58, 68}, {410, 600}, {985, 1000}, {985, 10_000}, {985, 20_000}}
	for _, s := range sizes {
		b.Run(fmt.Sprintf("%d_hosts_%d_servers", s.hosts, s.servers), func(b *testing.B) {
			n, hb := newLoadedNode(b, s.hosts, s.servers)
			hb.StoreBoot = n.boot
			request, err := json.Marshal(hb)
			if err != nil {
				b.Fatal(err)
			}
			size := 0
			for b.Loop() {
				response := n.localResponse(hb)
				data, err := json.Marshal(response)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(len(request)), "bytes-asked")
			b.ReportMetric(float64(size), "bytes-answered")
		})
	}
}
