package entrynode

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
	"wheelgauge/confstore"
	"wheelgauge/native"
	"wheelgauge/peerhttp"
	"wheelgauge/prompt"
	"wheelgauge/retrybudget"
	"wheelgauge/serverset"
)

// link limits the throughput of all its connections together to rate bytes a second, and counts
// what was read.
type link struct {
	mu   sync.Mutex
	rate int
	read int
}

// limitedConn is a connection whose reads are limited by a link.
type limitedConn struct {
	net.Conn
	link *link
}

func (l *link) wrap(c net.Conn) net.Conn { return &limitedConn{Conn: c, link: l} }

func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), 4096)])
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	c.link.read += n
	time.Sleep(time.Duration(n) * time.Second / time.Duration(c.link.rate))
	return n, err
}

func (l *link) bytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.read
}

// serverList is a list of servers that a test can change.
type serverList struct {
	mu   sync.Mutex
	list []wheelgauge.Server
}

func (s *serverList) Servers(context.Context, []string) ([]wheelgauge.Server, wheelgauge.InvalidEntries, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.list), nil, nil
}

func (s *serverList) add(server wheelgauge.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, server)
}

func (s *serverList) markLeaving(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list[n].Leaving = true
}

// encodeRoutes returns an encoded configuration of routes with random names.
func encodeRoutes(t testing.TB, version uint64, count int) []byte {
	t.Helper()
	r := rand.New(rand.NewPCG(1, 2))
	set := wheelgauge.RouteSet{Version: version, Services: []wheelgauge.Service{{Name: "s", MaxConns: 100}}}
	for n := range count {
		set.Routes = append(set.Routes, wheelgauge.PathRoute{
			Name: fmt.Sprintf("route-%d", n), Host: fmt.Sprintf("%016x.example", r.Uint64()), Prefix: fmt.Sprintf("/%016x/%016x/", r.Uint64(), r.Uint64()),
			Kind: wheelgauge.RouteOnce, Timeout: time.Second, LatencyObjective: time.Second, MaxAttempts: 1,
			Shares: []wheelgauge.TrafficShare{{Service: "s", Weight: 1}}, HomeRegions: []string{"north", "south"},
		})
	}
	body, err := json.Marshal(set)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

func waitFor(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// assignable reports whether a server of the list may get requests.
func assignable(n *Node, list *serverList, index int) bool {
	var others []string
	for m, s := range list.list {
		if m != index {
			others = append(others, s.Instance)
		}
	}
	_, ok := n.servers.Predict(serverset.NewJob("s", prompt.Prompt{}, 0, others))
	return ok
}

func openStores(t testing.TB, list wheelgauge.ServerList, addresses []string) []*confstore.Node {
	t.Helper()
	var out []*confstore.Node
	for n, address := range addresses {
		s, err := confstore.Open(context.Background(), confstore.Options{
			Name: fmt.Sprint("store-", n), Region: "north", Hall: "n", RegionByHall: map[string]string{"n": "north"}, Dir: t.TempDir(), PeerAddress: address,
			Seeds: addresses, Bootstrap: true, Tick: 20 * time.Millisecond, PollInterval: 100 * time.Millisecond, DecodeRoutes: native.Decode, ServerList: list, Log: logr.Discard(),
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			if err := s.Close(); err != nil {
				t.Error(err)
			}
		})
		out = append(out, s)
	}
	return out
}

// A large configuration must not block other updates on a host's slow link. If it is sent whole
// in the response to a heartbeat, the response exceeds its timeout of one second and is sent
// again from the beginning by all stores, which saturates the link: neither later changes nor
// server lists arrive, and the host serves requests by old routes, at servers that are
// leaving, and outside the home regions of their routes. In that state 2,002 requests were
// served by a configuration known to be outdated for more than 4 s, each with a list of servers
// older than 2 s.
func TestLargeStateOverANarrowLink(t *testing.T) {
	const (
		linkRate      = 160 << 10 // bytes a second: the large configuration takes a few seconds
		manyRoutes    = 3000
		leavingServer = 1
	)
	list := &serverList{}
	for n := range 3 {
		list.list = append(list.list, wheelgauge.Server{Instance: fmt.Sprint("i-", n), Service: "s", Address: "127.0.83.9:9", Hall: "n", Slots: 4})
	}
	addresses := []string{"127.0.83.1:7803", "127.0.83.2:7803", "127.0.83.3:7803"}
	stores := openStores(t, list, addresses)
	slow := &link{rate: linkRate}
	n, err := Open(context.Background(), Options{
		Name: "g", Region: "north", Hall: "n", CallerAddress: "127.0.83.4:7801", PeerAddress: "127.0.83.4:7802", Seeds: addresses,
		HeartbeatInterval: 150 * time.Millisecond, FarHeartbeatInterval: 500 * time.Millisecond, GracePeriod: time.Second, Budget: retrybudget.Options{Ratio: 0.2, Slack: 50, Window: testTimeout},
		Client: peerhttp.NewClient(peerhttp.NewDialer("", nil).WrapConns(slow.wrap), ""), DecodeRoutes: native.Decode, Names: native.Headers(), Log: logr.Discard(),
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
	}
	applied := func(version uint64) func() bool {
		return func() bool { return n.gate.RouteTable() != nil && n.gate.RouteTable().Version() == version }
	}
	put(1, 10)
	waitFor(t, "the host serves", func() bool { return applied(1)() && n.gate.Ready() && assignable(n, list, leavingServer) })
	put(2, manyRoutes)
	put(3, manyRoutes)
	list.markLeaving(leavingServer)
	t.Run("servers", func(t *testing.T) {
		waitFor(t, "a leaving server gets no requests", func() bool { return !assignable(n, list, leavingServer) })
	})
	t.Run("configuration", func(t *testing.T) {
		waitFor(t, "the last version is applied", applied(3))
	})
}
