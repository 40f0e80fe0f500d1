package entrynode

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
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

// The list of servers must not be sent whole when one of them changes: 10,000 are a megabyte, and a
// host on a link of 10 Mbit/s was never ready.
func TestOneChangedServerIsSentAlone(t *testing.T) {
	const servers, changed = 10_000, 20
	list := &serverList{}
	for n := range servers {
		service := "s"
		if n < changed {
			service = fmt.Sprint("old-", n)
		}
		list.list = append(list.list, wheelgauge.Server{Instance: fmt.Sprintf("i-%010d", n), Service: service, Version: "v1", Address: fmt.Sprintf("10.%d.%d.9:8784", n/250, n%250), Hall: "n", Slots: 24})
	}
	addresses := []string{"127.0.84.1:7803", "127.0.84.2:7803", "127.0.84.3:7803"}
	stores := openStores(t, list, addresses)
	narrow := &link{rate: narrowLinkRate}
	n, err := Open(context.Background(), Options{
		Name: "g", Region: "north", Hall: "n", CallerAddress: "127.0.84.4:7801", PeerAddress: "127.0.84.4:7802", Seeds: addresses,
		HeartbeatInterval: 150 * time.Millisecond, FarHeartbeatInterval: 500 * time.Millisecond, GracePeriod: time.Second, Budget: retrybudget.Options{Ratio: 0.2, Slack: 50, Window: testTimeout},
		Client: peerhttp.NewClient(peerhttp.NewDialer("", nil).WrapConns(narrow.wrap), ""), DecodeRoutes: native.Decode, Names: native.Headers(), Log: logr.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := n.Close(context.Background()); err != nil {
			t.Error(err)
		}
	})
	put := func(version uint64, count int) {
		body := encodeRoutes(t, version, count)
		waitFor(t, fmt.Sprint("version ", version, " is acknowledged"), func() bool {
			_, err := stores[0].PutRoutes(context.Background(), body)
			return err == nil
		})
		waitFor(t, fmt.Sprint("version ", version, " is in force"), func() bool {
			return n.gate.RouteTable() != nil && n.gate.RouteTable().Version() == version
		})
	}
	put(1, 10)
	waitFor(t, "the host serves", func() bool { return n.gate.Ready() && n.servers.ListedServers("s") == servers-changed })
	before := narrow.bytes()
	for i := range changed {
		fresh, old := fmt.Sprint("fresh-", i), fmt.Sprint("old-", i)
		list.add(wheelgauge.Server{Instance: fresh, Service: fresh, Version: "v1", Address: "127.0.83.9:9", Hall: "n", Slots: 4})
		list.markLeaving(i)
		waitFor(t, "one server starts and one leaves", func() bool {
			return n.servers.ListedServers(fresh) == 1 && !n.servers.HasVersion(old, wheelgauge.VersionFilter{})
		})
	}
	if got := (narrow.bytes() - before) / (2 * changed); got > maxBytesPerChange {
		t.Errorf("the host read %d bytes for each change of the list, want at most %d", got, maxBytesPerChange)
	}
	var costs []int
	for version := range uint64(4) {
		before := narrow.bytes()
		put(2+version, 1400*int(1+version))
		costs = append(costs, narrow.bytes()-before)
	}
	if first, last := costs[0], costs[3]; float64(last) > maxGrowth*float64(first) {
		t.Errorf("versions with 1,400 routes more each cost the host %v bytes to read, want at most %.1f times the first", costs, maxGrowth)
	}
}
