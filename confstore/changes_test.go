package confstore

import (
	"encoding/json"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/changefeed"
	"wheelgauge/changelog"
	"wheelgauge/configstate"
	"wheelgauge/hallorders"
	"wheelgauge/hosttable"
	"wheelgauge/meter"
	"wheelgauge/native"
	"wheelgauge/quarantine"
	"wheelgauge/routehistory"
	"wheelgauge/routetable"
	"wheelgauge/serverlist"
	"wheelgauge/tablereplica"
)

// newFeedNode returns a store that serves changes of its tables.
func newFeedNode(started time.Time) *Node {
	n := &Node{
		o: Options{Clock: wheelgauge.MonotonicClock{}, DecodeRoutes: native.Decode}, started: started, machine: configstate.New(), crashes: quarantine.New(time.Now),
		hosts: hosttable.New(time.Now), servers: serverlist.New(time.Now), feed: changefeed.New(), meter: meter.New(), hallOrders: hallorders.New(time.Now),
	}
	n.config.rows, n.config.table, n.config.history = changelog.New(), routetable.New(&wheelgauge.RouteSet{}), routehistory.New(time.Now)
	n.feed.Add(wheelgauge.TableRoutes, n.config.rows, true)
	return n
}

// apply commits a command at a store.
func apply(t *testing.T, n *Node, c configstate.Command) {
	t.Helper()
	data, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	n.machine.Apply(1, data)
}

// requestChanges returns a store's response to a request.
func requestChanges(t *testing.T, n *Node, r wheelgauge.ChangesRequest) wheelgauge.ChangesResponse {
	t.Helper()
	var ctx fasthttp.RequestCtx
	body, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	ctx.Request.SetRequestURI(changefeed.Path)
	ctx.Request.SetBody(body)
	if !n.serveChanges(&ctx) || ctx.Response.StatusCode() != http.StatusOK {
		t.Fatalf("got status %d: %s", ctx.Response.StatusCode(), ctx.Response.Body())
	}
	data, err := ctx.Response.BodyUncompressed()
	if err != nil {
		t.Fatal(err)
	}
	var out wheelgauge.ChangesResponse
	if err := json.Unmarshal(data, &out); err != nil {
		t.Fatal(err)
	}
	return out
}

// After a restart of all hosts and stores a host must not send a quarantined request to a
// server. A host serves once it has fetched the state from any store and has the server list.
// If quarantined requests came only with the next heartbeat response of its primary store, up
// to 0.1 s after the state, the host would answer 502 and two more servers would crash.
func TestFirstStateCarriesCrashes(t *testing.T) {
	three := []wheelgauge.Crash{{Fingerprint: "p", Server: "a"}, {Fingerprint: "p", Server: "b"}, {Fingerprint: "p", Server: "c"}}
	n := newFeedNode(time.Now())
	apply(t, n, configstate.Command{Op: configstate.OpPut, Version: 1, Body: json.RawMessage(`{"version":1}`)})
	apply(t, n, configstate.Command{Op: configstate.OpCrashes, Crashes: three})
	apply(t, n, configstate.Command{Op: configstate.OpDrain, Hall: "h"})
	tests := []struct {
		name       string
		generation uint64
		want       bool
	}{
		{"a host that holds nothing", 0, true},
		{"a host that holds a state", 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := requestChanges(t, n, wheelgauge.ChangesRequest{Config: true, Generation: tt.generation, MaxBytes: 1 << 10})
			if got.Config == nil || slices.Equal(got.Config.Crashes, three) != tt.want {
				t.Errorf("got %+v, want a state with all three crashes or none as in the table", got.Config)
			}
		})
	}
}

// A host that has just started did not see a drain end, so its first state names the hall.
func TestFirstStateCarriesHallOrders(t *testing.T) {
	n := newFeedNode(time.Now())
	for _, op := range []string{configstate.OpDrain, configstate.OpResume} {
		apply(t, n, configstate.Command{Op: op, Hall: "h1"})
	}
	for _, tt := range []struct {
		generation uint64
		want       int
	}{{0, 1}, {1, 0}} {
		got := requestChanges(t, n, wheelgauge.ChangesRequest{Config: true, Generation: tt.generation, MaxBytes: 1 << 10})
		if got.Config == nil || len(got.Config.HallOrders) != tt.want || tt.want == 1 && got.Config.HallOrders[0].Hall != "h1" {
			t.Errorf("host at generation %d: got %+v, want %d orders", tt.generation, got.Config, tt.want)
		}
	}
}

// A new version of the configuration is sent as the rows that differ, a drained hall without any;
// a host that holds the newest state gets neither.
func TestStateIsSentAsChanges(t *testing.T) {
	n := newFeedNode(time.Now())
	put := func(version uint64, routes ...string) {
		set := wheelgauge.RouteSet{Version: version}
		for _, prefix := range routes {
			set.Routes = append(set.Routes, wheelgauge.PathRoute{Name: prefix, Host: "h", Prefix: prefix, Kind: wheelgauge.RouteOnce, Timeout: 1})
		}
		body, err := json.Marshal(set)
		if err != nil {
			t.Fatal(err)
		}
		apply(t, n, configstate.Command{Op: configstate.OpPut, Version: version, Body: body})
	}
	replica, generation := tablereplica.New(wheelgauge.TableRoutes), uint64(0)
	steps := []struct {
		name string
		do   func()
		rows int
		head bool
	}{
		{"the first version", func() { put(1, "/a/", "/b/", "/c/") }, 4, true}, // three routes and the limits
		{"nothing new", func() {}, 0, false},
		{"a route more, one less", func() { put(2, "/b/", "/c/", "/d/") }, 2, true},
		{"a drained hall", func() { apply(t, n, configstate.Command{Op: configstate.OpDrain, Hall: "h"}) }, 0, true},
		{"two versions", func() { put(5, "/b/", "/d/"); put(6, "/d/", "/e/") }, 3, true},
	}
	for _, s := range steps {
		s.do()
		got := requestChanges(t, n, wheelgauge.ChangesRequest{Config: true, Generation: generation, Held: []wheelgauge.HeldTable{replica.Held()}, MaxBytes: 1 << 20})
		rows := 0
		for _, c := range got.Tables {
			rows += len(c.Rows)
			if _, err := replica.Apply(c); err != nil {
				t.Fatal(err)
			}
		}
		if rows != s.rows || (got.Config != nil) != s.head {
			t.Errorf("%s: got %d rows, a state: %t, want %d, %t", s.name, rows, got.Config != nil, s.rows, s.head)
		}
		if got.Config != nil {
			generation = got.Config.Generation
			if replica.Digest() != got.Config.Digest {
				t.Errorf("%s: the rows received are not those of version %d", s.name, got.Config.Version)
			}
		}
	}
}

// A store that has just started knows few hosts; a host that knows the others must not drop them.
func TestStartingStoreTakesNoHostsAway(t *testing.T) {
	host := func(n *Node, name string) {
		if err := n.hosts.RecordHeartbeat(wheelgauge.FleetHeartbeat{Host: wheelgauge.FleetHost{Name: name}}, time.Hour); err != nil {
			t.Fatal(err)
		}
	}
	old, started := newFeedNode(time.Now().Add(-time.Hour)), newFeedNode(time.Now())
	for _, name := range []string{"a", "b", "c"} {
		host(old, name)
	}
	host(started, "a")
	replica := tablereplica.New(wheelgauge.TableHosts)
	ask := func(n *Node) {
		for range 3 {
			for _, c := range requestChanges(t, n, wheelgauge.ChangesRequest{Held: []wheelgauge.HeldTable{replica.Held()}, MaxBytes: 1 << 20}).Tables {
				if _, err := replica.Apply(c); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	ask(old)
	if ask(started); replica.Len() != 3 {
		t.Errorf("%d hosts are left, want the three that were known", replica.Len())
	}
	started.started = time.Now().Add(-warmUpPeriod)
	if ask(started); replica.Len() != 1 {
		t.Errorf("%d hosts are left once the store knows all, want 1", replica.Len())
	}
}
