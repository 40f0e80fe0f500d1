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

// link lets so many bytes a second through, for all connections together.
type link struct {
	mu   sync.Mutex
	rate int
}

// narrowConn is a connection whose incoming bytes pass a link.
type narrowConn struct {
	net.Conn
	link *link
}

func (l *link) join(c net.Conn) net.Conn { return &narrowConn{Conn: c, link: l} }

func (c *narrowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), 4096)])
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	time.Sleep(time.Duration(n) * time.Second / time.Duration(c.link.rate))
	return n, err
}

// servers is a list of servers that a test changes.
type servers struct {
	mu   sync.Mutex
	list []wheelgauge.Server
}

func (s *servers) Servers(context.Context, []string) ([]wheelgauge.Server, wheelgauge.ForeignEntries, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.list), nil, nil
}

func (s *servers) leave(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list[n].Leaving = true
}

// routes is a configuration of many routes with random names, as operators have.
func routes(t *testing.T, version uint64, count int) []byte {
	t.Helper()
	r := rand.New(rand.NewPCG(1, 2))
	set := wheelgauge.RouteSet{Version: version, Services: []wheelgauge.Service{{Name: "s", Conns: 100}}}
	for n := range count {
		set.Routes = append(set.Routes, wheelgauge.PathRoute{
			Name: fmt.Sprintf("route-%d", n), Host: fmt.Sprintf("%016x.example", r.Uint64()), Prefix: fmt.Sprintf("/%016x/%016x/", r.Uint64(), r.Uint64()),
			Kind: wheelgauge.RouteOnce, Timeout: time.Second, Objective: time.Second, Attempts: 1,
			Shares: []wheelgauge.Share{{Service: "s", Weight: 1}}, Homes: []string{"north", "south"},
		})
	}
	body, err := json.Marshal(set)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testLimit); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not seen: %s", what)
		}
	}
}

// takes tells whether a server of the list would get work.
func takes(n *Node, list *servers, at int) bool {
	var others []string
	for m, s := range list.list {
		if m != at {
			others = append(others, s.Instance)
		}
	}
	_, ok := n.servers.Predict(serverset.NewJob("s", prompt.Prompt{}, 0, others))
	return ok
}

func openStores(t *testing.T, list wheelgauge.ServerList, addresses []string) []*confstore.Node {
	t.Helper()
	var out []*confstore.Node
	for n, address := range addresses {
		s, err := confstore.Open(context.Background(), confstore.Options{
			Name: fmt.Sprint("store-", n), Region: "north", Hall: "n", Halls: map[string]string{"n": "north"}, Dir: t.TempDir(), Peer: address,
			Seeds: addresses, First: true, Tick: 20 * time.Millisecond, PollEvery: 100 * time.Millisecond, Decode: native.Decode, List: list, Log: logr.Discard(),
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

// Users saw requests handled by routes that had been changed long ago, at
// servers that had said they leave, and outside the homes of their routes. A
// change had made the configuration large; each host was to get it whole inside
// the answer to a heartbeat, which was cut after its second, since a host's link
// is narrow. It was sent again from its beginning, by all stores, and filled the
// link: no later change and no news of servers came through any more, for the
// rest of the day. Evidence: each of 2,002 requests that were served by a
// configuration known to be old for more than 4 s had a list of servers older than
// 2 s; stores told of the newer generation meanwhile; the links stood full.
func TestLargeStateOverANarrowLink(t *testing.T) {
	const (
		linkRate   = 160 << 10 // bytes a second: the large configuration needs some seconds
		manyRoutes = 3000
		leaves     = 1
	)
	list := &servers{}
	for n := range 3 {
		list.list = append(list.list, wheelgauge.Server{Instance: fmt.Sprint("i-", n), Service: "s", Address: "127.0.83.9:9", Hall: "n", Slots: 4})
	}
	addresses := []string{"127.0.83.1:7803", "127.0.83.2:7803", "127.0.83.3:7803"}
	stores := openStores(t, list, addresses)
	narrow := &link{rate: linkRate}
	n, err := Open(context.Background(), Options{
		Name: "g", Region: "north", Hall: "n", Caller: "127.0.83.4:7801", Peer: "127.0.83.4:7802", Seeds: addresses,
		Interval: 150 * time.Millisecond, FarInterval: 500 * time.Millisecond, Grace: time.Second, Budget: retrybudget.Options{Ratio: 0.2, Slack: 50, Window: testLimit},
		Client: peerhttp.NewClient(peerhttp.NewDialer("", nil).Wrap(narrow.join), ""), Decode: native.Decode, Names: native.Headers(), Log: logr.Discard(),
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
		body := routes(t, version, count)
		until(t, fmt.Sprint("version ", version, " is acknowledged"), func() bool {
			_, err := stores[0].PutRoutes(context.Background(), body)
			return err == nil
		})
	}
	inForce := func(version uint64) func() bool {
		return func() bool { return n.gate.Table() != nil && n.gate.Table().Version() == version }
	}
	put(1, 10)
	until(t, "the host serves", func() bool { return inForce(1)() && n.gate.Ready() && takes(n, list, leaves) })
	put(2, manyRoutes)
	put(3, manyRoutes)
	list.leave(leaves)
	t.Run("servers", func(t *testing.T) {
		until(t, "a server that leaves gets no work", func() bool { return !takes(n, list, leaves) })
	})
	t.Run("configuration", func(t *testing.T) {
		until(t, "the last version is in force", inForce(3))
	})
}
