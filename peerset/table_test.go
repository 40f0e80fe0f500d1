package peerset

import (
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/announcedhosts"
)

const (
	service = "lm"
	silence = time.Second
)

func table() (*Table, *time.Time) {
	at := time.Unix(0, 0)
	t := New("here", silence, func() time.Time { return at })
	t.replaceHosts([]wheelgauge.FleetHost{
		{Name: "own", Region: "here", Ready: true},
		{Name: "n1", Region: "north", Ready: true},
		{Name: "n2", Region: "north", Ready: true},
		{Name: "s1", Region: "south", Ready: true, Leaving: true},
		{Name: "w1", Region: "west"},
		{Name: "e1", Region: "east", Ready: true},
	})
	return t, &at
}

func uses(region string, servers, running int) wheelgauge.RegionUsage {
	return wheelgauge.RegionUsage{Region: region, Services: []wheelgauge.ServiceUsage{{Service: service, Servers: servers, Running: running}}}
}

func TestRegions(t *testing.T) {
	tests := []struct {
		name string
		do   func(tb *Table, at *time.Time)
		want []string
	}{
		{"load not known yet: all with a ready gateway", func(*Table, *time.Time) {}, []string{"east", "north"}},
		{"no servers there", func(tb *Table, _ *time.Time) {
			tb.SetLoads([]wheelgauge.RegionUsage{uses("north", 2, 1), uses("east", 0, 0)})
		}, []string{"north"}},
		{"one of two gateways paused", func(tb *Table, _ *time.Time) { tb.Pause(tb.peers["n1"]) }, []string{"east", "north"}},
		{"all gateways back off", func(tb *Table, _ *time.Time) {
			tb.BackOff(tb.peers["n1"], service, time.Minute)
			tb.BackOff(tb.peers["n2"], service, time.Minute)
		}, []string{"east"}},
		{"one of two gateways backs off", func(tb *Table, _ *time.Time) { tb.BackOff(tb.peers["n1"], service, time.Minute) }, []string{"east", "north"}},
		{"for another service", func(tb *Table, _ *time.Time) {
			tb.BackOff(tb.peers["n1"], "other", time.Minute)
			tb.BackOff(tb.peers["n2"], "other", time.Minute)
		}, []string{"east", "north"}},
		{"the back-off of all gateways has ended", func(tb *Table, at *time.Time) {
			tb.BackOff(tb.peers["n1"], service, time.Minute)
			tb.BackOff(tb.peers["n2"], service, time.Minute)
			*at = at.Add(time.Minute)
		}, []string{"east", "north"}},
		{"all gateways back off, then servers are added", func(tb *Table, _ *time.Time) {
			tb.SetLoads([]wheelgauge.RegionUsage{uses("north", 2, 1), uses("east", 1, 0)})
			tb.BackOff(tb.peers["n1"], service, time.Minute)
			tb.BackOff(tb.peers["n2"], service, time.Minute)
			tb.SetLoads([]wheelgauge.RegionUsage{uses("north", 3, 1), uses("east", 1, 0)})
		}, []string{"east", "north"}},
		{"all gateways back off, and the number of servers is unchanged", func(tb *Table, _ *time.Time) {
			tb.SetLoads([]wheelgauge.RegionUsage{uses("north", 2, 1), uses("east", 1, 0)})
			tb.BackOff(tb.peers["n1"], service, time.Minute)
			tb.BackOff(tb.peers["n2"], service, time.Minute)
			tb.SetLoads([]wheelgauge.RegionUsage{uses("north", 2, 5), uses("east", 1, 0)})
		}, []string{"east"}},
		{"a silent region", func(tb *Table, _ *time.Time) { tb.PauseRegion(tb.peers["n1"]) }, []string{"east"}},
		{"a region that was silent a while ago", func(tb *Table, at *time.Time) {
			tb.PauseRegion(tb.peers["n1"])
			*at = at.Add(silentTime)
		}, []string{"east", "north"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tb, at := table()
			tt.do(tb, at)
			if got := tb.Regions(service); !slices.Equal(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestLoadCountsWhatWasSent(t *testing.T) {
	tb, _ := table()
	tb.SetLoads([]wheelgauge.RegionUsage{uses("north", 2, 3), uses("east", 2, 9)})
	if tb.BusiestRegion() != "east" {
		t.Errorf("busiest region is %q, want east", tb.BusiestRegion())
	}
	if p := tb.Choose("north", service, 1, 500, []string{"n1"}); p == nil || p.Name() != "n2" {
		t.Fatalf("chose %v, want n2", p)
	}
	if got := tb.Load("north", service); got.Running != 4 || got.PrefillTokens != 500 {
		t.Errorf("load is %+v, want 4 requests and 500 tokens", got)
	}
	if tb.Choose("north", service, 1, 1, []string{"n1", "n2"}) != nil {
		t.Error("a gateway that was tried before is chosen again")
	}
}

func TestRoundTripIsMeasured(t *testing.T) {
	tb, _ := table()
	if tb.RoundTrip("north") != initialRoundTrip {
		t.Errorf("round-trip time of a region that was never called is %s", tb.RoundTrip("north"))
	}
	tb.ObserveRoundTrip("north", 100*time.Millisecond)
	tb.ObserveRoundTrip("north", 150*time.Millisecond)
	if got := tb.RoundTrip("north"); got != 110*time.Millisecond {
		t.Errorf("mean round-trip time is %s, want 110ms", got)
	}
}

// A host's new description must not modify a peer that a dispatch holds.
func TestPeersInUseDoNotChange(t *testing.T) {
	tb, _ := table()
	held := tb.Choose("east", service, 1, 1, nil)
	pool := held.Pool()
	tb.replaceHosts([]wheelgauge.FleetHost{{Name: "e1", Region: "east", Hall: "moved", Ready: true}})
	if held.host.Hall != "" || tb.peers["e1"] == held {
		t.Error("a peer in use was modified")
	}
	if tb.peers["e1"].Pool() != pool {
		t.Error("the connections were not kept")
	}
}

// A region that answers no call is unreachable: cached prefixes of prompts cannot be fetched
// from its servers.
func TestBusiest(t *testing.T) {
	tests := []struct {
		name string
		do   func(tb *Table, at *time.Time)
		want string
	}{
		{"most in flight", func(*Table, *time.Time) {}, "north"},
		{"all answer", func(tb *Table, _ *time.Time) {
			tb.ObserveRoundTrip("north", time.Millisecond)
			tb.ObserveRoundTrip("east", time.Millisecond)
		}, "north"},
		{"silent", func(tb *Table, at *time.Time) {
			tb.ObserveRoundTrip("north", time.Millisecond)
			*at = at.Add(silence)
			tb.ObserveRoundTrip("east", time.Millisecond)
		}, "east"},
		{"all silent", func(tb *Table, at *time.Time) {
			tb.ObserveRoundTrip("north", time.Millisecond)
			tb.ObserveRoundTrip("east", time.Millisecond)
			*at = at.Add(silence)
		}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tb, at := table()
			tb.SetLoads([]wheelgauge.RegionUsage{uses("here", 2, 9), uses("north", 2, 5), uses("east", 2, 1)})
			tt.do(tb, at)
			if got := tb.BusiestRegion(); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// In a region with more gateways than are announced to callers, forwarded requests go to the
// announced ones: the others would have to open connections of their own to every server.
func TestChoosePrefersAnnouncedGateways(t *testing.T) {
	tb, _ := table()
	var hosts []wheelgauge.FleetHost
	for i := range 100 {
		hosts = append(hosts, wheelgauge.FleetHost{Name: fmt.Sprint("n", i), Region: "north", PeerAddress: fmt.Sprint("127.0.0.1:", i+1), Ready: true})
	}
	tb.replaceHosts(hosts)
	used := map[string]bool{}
	for range 2000 {
		used[tb.Choose("north", service, 1, 0, nil).Name()] = true
	}
	if len(used) != announcedhosts.MinHosts {
		t.Errorf("%d gateways used, want the %d that are announced to callers", len(used), announcedhosts.MinHosts)
	}
}

// A gateway with an idle connection is preferred to one that must be connected first.
func TestChoosePrefersIdleConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	tb, _ := table()
	var hosts []wheelgauge.FleetHost
	for i := range 20 {
		hosts = append(hosts, wheelgauge.FleetHost{Name: fmt.Sprint("n", i), Region: "north", PeerAddress: "127.0.0.1:1", Ready: true})
	}
	hosts[7].PeerAddress = l.Addr().String()
	tb.replaceHosts(hosts)
	connected := tb.peers["n7"]
	c, err := connected.Pool().Get(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	go answerOnce(l)
	if err := c.Send([]byte("GET / HTTP/1.1\r\n\r\n"), nil, time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	head, body, err := c.ReadHead("Id", "", false)
	if err != nil {
		t.Fatal(err)
	}
	connected.Pool().Put(c, head, body)
	for range 20 {
		if p := tb.Choose("north", service, 1, 0, nil); p.Name() != "n7" {
			t.Fatalf("chose %s, which has no idle connection", p.Name())
		}
	}
	if p := tb.Choose("north", service, 1, 0, []string{"n7"}); p == nil {
		t.Error("no gateway is chosen when the connected one was tried")
	}
}

// answerOnce answers the first request on the first connection of a listener.
func answerOnce(l net.Listener) {
	c, err := l.Accept()
	if err != nil {
		return // the test fails as no answer comes
	}
	_, _ = c.Read(make([]byte, 1024))
	_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
}

// Regions in which all servers of the service have announced limits are listed separately:
// they are a last resort for requests that can run nowhere else.
func TestLimitedRegions(t *testing.T) {
	tb, _ := table()
	north, east := uses("north", 0, 0), uses("east", 1, 0)
	north.Services[0].LimitedServers, east.Services[0].LimitedServers = 2, 2
	tb.SetLoads([]wheelgauge.RegionUsage{north, east})
	if got := tb.Regions(service); !slices.Equal(got, []string{"east"}) {
		t.Errorf("regions without limits are %v, want east", got)
	}
	if got := tb.LimitedRegions(service); !slices.Equal(got, []string{"north"}) {
		t.Errorf("limited regions are %v, want north", got)
	}
}

// A region whose gateways are all leaving is used only for requests that may run nowhere
// else; a refusal there does not stop the next request.
func TestLeavingRegions(t *testing.T) {
	tb, _ := table()
	if got := tb.LeavingRegions(service); !slices.Equal(got, []string{"south"}) {
		t.Fatalf("got %v, want south", got)
	}
	p := tb.Choose("south", service, 1, 1, nil)
	if p == nil || p.Name() != "s1" {
		t.Fatalf("chose %v, want s1", p)
	}
	tb.Refused(p)
	if tb.Choose("south", service, 1, 1, nil) == nil {
		t.Error("a leaving gateway gets no request after a refusal")
	}
	tb.replaceHosts([]wheelgauge.FleetHost{{Name: "s1", Region: "south", Ready: true, Leaving: true}, {Name: "s2", Region: "south", Ready: true}})
	if p := tb.Choose("south", service, 1, 1, nil); p.Name() != "s2" {
		t.Errorf("chose %s, want the gateway that stays", p.Name())
	}
}

func TestRegionWhoseGatewaysReachNoServerIsNoPlace(t *testing.T) {
	tests := []struct {
		name       string
		outOfReach [2]string // of the two gateways of a region
		want       int       // regions for service s
	}{
		{"both reach it", [2]string{"", ""}, 1},
		{"one does not", [2]string{"a,s", ""}, 1},
		{"neither does", [2]string{"s", "a,s"}, 0},
		{"another service", [2]string{"a", "a"}, 1},
		{"a longer name", [2]string{"sa", "as"}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tb := New("here", time.Second, time.Now)
			var hosts []wheelgauge.FleetHost
			for i, out := range tt.outOfReach {
				hosts = append(hosts, wheelgauge.FleetHost{Name: fmt.Sprint("g", i), Region: "there", PeerAddress: "127.0.0.1:1", Ready: true, OutOfReach: out})
			}
			tb.replaceHosts(hosts)
			if got := tb.Regions("s"); len(got) != tt.want {
				t.Errorf("got regions %v, want %d", got, tt.want)
			}
			if p := tb.Choose("there", "s", 0, 0, nil); p != nil && !p.host.Reaches("s") {
				t.Errorf("gateway %s was chosen, which reaches no server", p.Name())
			}
		})
	}
}

func TestFailuresOfARegionCostUntilTheyFade(t *testing.T) {
	at := time.Unix(1000, 0)
	tb := New("here", time.Second, func() time.Time { return at })
	tb.replaceHosts([]wheelgauge.FleetHost{{Name: "g", Region: "there", PeerAddress: "127.0.0.1:1", Ready: true}})
	usage := []wheelgauge.RegionUsage{{Region: "there", Services: []wheelgauge.ServiceUsage{{Service: "s", Servers: 1, Slots: 4}}}}
	tb.SetLoads(usage)
	p := tb.Choose("there", "s", 0, 0, nil)
	for range 6 {
		tb.Ended(p, "s", true)
	}
	tb.SetLoads(usage) // each heartbeat brings the load anew
	if cost := tb.FailureCost("there", "s"); cost < 500*time.Millisecond {
		t.Errorf("a region that fails every request costs %s, want at least 500ms", cost)
	}
	at = at.Add(time.Minute)
	if cost := tb.FailureCost("there", "s"); cost != 0 {
		t.Errorf("a minute later it costs %s, want nothing", cost)
	}
}
