package membership

import (
	"encoding/json"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/catalog"
)

type clock struct{ now time.Time }

func testHub(c *clock) *Hub {
	cat := catalog.Build(1, []wheelgauge.Resource{
		{Kind: wheelgauge.KindBackendServer, Name: "e1", Spec: json.RawMessage(`{"pool":"p","region":"karachi","slots":20}`)},
		{Kind: wheelgauge.KindBackendServer, Name: "e2", Spec: json.RawMessage(`{"pool":"p","region":"karachi","slots":20}`)},
	})
	return NewHub("karachi", 1, time.Second, func() *catalog.Catalog { return cat }, func() time.Time { return c.now })
}

func heartbeat(host string, servers ...wheelgauge.ServerEntry) wheelgauge.Heartbeat {
	return wheelgauge.Heartbeat{Host: host, Boot: 1, Servers: servers}
}

func alive(name string, running int) wheelgauge.ServerEntry {
	return wheelgauge.ServerEntry{Server: name, Alive: true, Running: running}
}

// A host that names the version of its view gets only what changed since.
func TestViews(t *testing.T) {
	c := &clock{time.Unix(0, 0)}
	h := testHub(c)
	v := h.Beat(heartbeat("a", alive("e1", 3)))
	if !v.Full || len(v.Hosts) != 1 || len(v.Loads) != 1 || v.Names[0] != "e1" {
		t.Fatalf("first view %+v", v)
	}
	again := heartbeat("a", alive("e1", 3))
	again.Hub, again.Since = v.Hub, v.Version
	if v = h.Beat(again); v.Full || len(v.Hosts) != 0 || len(v.Loads) != 0 || len(v.Names) != 0 {
		t.Fatalf("nothing changed, but got %+v", v)
	}
	c.now = c.now.Add(time.Millisecond)
	h.Beat(heartbeat("b", alive("e1", 9)))
	again.Since = v.Version
	if v = h.Beat(wheelgauge.Heartbeat{Host: "a", Boot: 1, Hub: v.Hub, Since: v.Version}); len(v.Hosts) != 1 || len(v.Loads) != 1 || v.Loads[0].Entry("e1", "") != alive("e1", 9) {
		t.Fatalf("want the changed host and load, got %+v", v)
	}
}

// Ready models are sent once for each change.
func TestModels(t *testing.T) {
	h := testHub(&clock{time.Unix(0, 0)})
	ready := alive("e1", 1)
	ready.Models = "large@1"
	v := h.Beat(heartbeat("a", ready))
	if v.Models[0] != "large@1" {
		t.Fatalf("first view %+v", v)
	}
	ready.Running = 2
	next := heartbeat("a", ready)
	next.Hub, next.Since = v.Hub, v.Version
	if v = h.Beat(next); len(v.Models) != 0 || len(v.Loads) != 1 {
		t.Fatalf("models did not change, but got %+v", v)
	}
	next.Servers[0].Models, next.Since = "", v.Version
	if v = h.Beat(next); len(v.Models) != 1 || v.Models[0] != "" {
		t.Fatalf("models were unloaded, but got %+v", v)
	}
}

// The state of hosts and servers after heartbeats or answers to polls fail to come.
func TestFailureDetection(t *testing.T) {
	tests := []struct {
		name   string
		run    func(h *Hub, c *clock)
		host   bool // is host a alive
		server bool // is e1 alive
		slots  int
	}{
		{"all well", func(h *Hub, _ *clock) { h.Beat(heartbeat("a", alive("e1", 0))) }, true, true, 20},
		{"a host becomes silent", func(h *Hub, c *clock) {
			h.Beat(heartbeat("a", alive("e1", 0)))
			c.now = c.now.Add(4 * time.Second)
			h.Beat(heartbeat("b", alive("e1", 0)))
		}, false, true, 20},
		{"a server does not answer its only poller", func(h *Hub, _ *clock) { h.Beat(heartbeat("a", wheelgauge.ServerEntry{Server: "e1"})) }, true, false, 0},
		{"one poller of two is cut off from a server", func(h *Hub, _ *clock) {
			h.Beat(heartbeat("b", alive("e1", 2)))
			h.Beat(heartbeat("a", wheelgauge.ServerEntry{Server: "e1"}))
		}, true, true, 20},
		{"the poller that reached it becomes silent", func(h *Hub, c *clock) {
			h.Beat(heartbeat("b", alive("e1", 2)))
			c.now = c.now.Add(4 * time.Second)
			h.Beat(heartbeat("a", wheelgauge.ServerEntry{Server: "e1"}))
		}, true, false, 0},
		{"no host polls yet after the poller", func(h *Hub, c *clock) {
			h.Beat(heartbeat("b", alive("e1", 2)))
			c.now = c.now.Add(6 * time.Second)
			h.Beat(heartbeat("a"))
		}, true, true, 20},
		{"no host polls any more", func(h *Hub, c *clock) {
			h.Beat(heartbeat("b", alive("e1", 2)))
			c.now = c.now.Add(6*time.Second + time.Millisecond)
			h.Beat(heartbeat("a"))
		}, true, false, 0},
		{"the last report was that it did not answer", func(h *Hub, c *clock) {
			h.Beat(heartbeat("b", alive("e1", 2)))
			c.now = c.now.Add(time.Second)
			h.Beat(heartbeat("b", wheelgauge.ServerEntry{Server: "e1"}))
			c.now = c.now.Add(4 * time.Second)
			h.Beat(heartbeat("a"))
		}, true, false, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &clock{time.Unix(100, 0)}
			h := testHub(c)
			tt.run(h, c)
			v := h.Beat(heartbeat("watcher"))
			host, server := false, false
			for _, e := range v.Hosts {
				host = host || e.Host == "a" && e.Alive
			}
			for _, l := range v.Loads {
				server = server || v.Names[l.Number()] == "e1" && l.Entry("e1", "").Alive
			}
			if host != tt.host || server != tt.server || h.Summary().Pools["p"].Slots != tt.slots {
				t.Fatalf("got host alive %t, server alive %t, slots %d", host, server, h.Summary().Pools["p"].Slots)
			}
		})
	}
}

// Spare capacity is split by demand, and never exceeds what there is while there is demand.
func TestGrants(t *testing.T) {
	tests := []struct {
		name    string
		running int
		demand  map[string]int
		want    map[string]int
	}{
		{"no region asks", 10, map[string]int{"lahore": 0, "peshawar": 0}, map[string]int{"lahore": 28, "peshawar": 28}},
		{"one asks", 10, map[string]int{"lahore": 5, "peshawar": 0}, map[string]int{"lahore": 28, "peshawar": 0}},
		{"both ask", 10, map[string]int{"lahore": 30, "peshawar": 10}, map[string]int{"lahore": 21, "peshawar": 7}},
		{"full", 40, map[string]int{"lahore": 5, "peshawar": 5}, map[string]int{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := testHub(&clock{time.Unix(0, 0)})
			h.Beat(heartbeat("a", alive("e1", tt.running), alive("e2", 0)))
			for region, demand := range tt.demand {
				h.TakeRegion(wheelgauge.RegionSummary{Region: region, Hosts: 1, Asks: map[string]int{"p": demand}})
			}
			got := h.Summary().Pools["p"].Grants
			sum := 0
			for region, want := range tt.want {
				if got[region] != want {
					t.Errorf("%s got %d, want %d", region, got[region], want)
				}
				sum += got[region]
			}
			if tt.name != "no region asks" && sum+tt.running > 40 {
				t.Errorf("granted %d slots with %d of 40 in use", sum, tt.running)
			}
		})
	}
}

func TestRegionExpires(t *testing.T) {
	c := &clock{time.Unix(0, 0)}
	h := testHub(c)
	h.TakeRegion(wheelgauge.RegionSummary{Region: "lahore", Hosts: 3})
	c.now = c.now.Add(4 * time.Second)
	v := h.Beat(heartbeat("a"))
	if len(v.Regions) != 1 || v.Regions[0].Hosts != 0 || !v.Regions[0].Gone {
		t.Fatalf("a silent region does not count as unreachable: %+v", v.Regions)
	}
}

func BenchmarkBeat(b *testing.B) {
	c := &clock{time.Unix(0, 0)}
	h := testHub(c)
	for i := range 82 {
		h.Beat(heartbeat(string(rune('a'+i%26)) + string(rune('a'+i/26))))
	}
	one := heartbeat("aa", alive("e1", 3), alive("e2", 4))
	one.Hub = 1
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		one.Since = h.version
		one.Servers[0].Running = i % 8
		h.Beat(one)
	}
}

// A healthy backend server must not count as dead while other hosts take over from its
// pollers. When both of its pollers froze, their reports expired at the moment at which the
// pollers were declared dead, and only then did another host begin to poll: requests
// forwarded to the region were refused for some hundred milliseconds.
func TestServerStaysAliveDuringPollerHandover(t *testing.T) {
	c := &clock{time.Unix(0, 0)}
	h := testHub(c)
	// Each host sends one heartbeat per interval, with an offset of its own.
	h.Beat(heartbeat("poller-1", alive("e1", 3)))
	c.now = c.now.Add(300 * time.Millisecond)
	h.Beat(heartbeat("poller-2", alive("e1", 3)))
	polls := false
	view := h.Beat(heartbeat("other"))
	frozen := map[string]bool{}
	for range 10 {
		c.now = c.now.Add(time.Second)
		b := heartbeat("other")
		if polls {
			b = heartbeat("other", alive("e1", 3))
		}
		b.Hub, b.Since = view.Hub, view.Version
		view = h.Beat(b)
		for _, host := range view.Hosts {
			frozen[host.Host] = !host.Alive
		}
		// A host polls by the view from its last heartbeat.
		polls = frozen["poller-1"] && frozen["poller-2"]
		if h.Summary().Pools["p"].Slots == 0 {
			t.Fatalf("the server counts as dead after %s", c.now.Sub(time.Unix(0, 0)))
		}
	}
	if !polls {
		t.Fatal("the frozen hosts never counted as dead")
	}
}
