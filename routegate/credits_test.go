package routegate

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/retrybudget"
)

// creditScript is credits that allow some regions, and record what is asked.
type creditScript struct {
	mu         sync.Mutex
	withheld   map[string]bool
	taken      []string
	turnedBack []string
	credit     wheelgauge.ForwardCredit
}

func (s *creditScript) SetUsage([]wheelgauge.RegionUsage, int) {}

func (s *creditScript) Take(region, _ string, _, _ int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.taken = append(s.taken, region)
	return !s.withheld[region]
}

func (s *creditScript) TurnedBack(region, _ string, _ int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turnedBack = append(s.turnedBack, region)
}

func (s *creditScript) Credit(string, string, int) wheelgauge.ForwardCredit {
	return s.credit
}

// creditGates is a gate of region "here", and one each of regions "near" and "far", which
// are a short and a longer round trip away.
type creditGates struct {
	here    *Gate
	caller  net.Conn
	credits *creditScript
	servers map[string]*backend
}

// creditObjective leaves a second for a request that is turned back.
const creditObjective = 4 * time.Second

// busyRequests in flight make every request late.
const busyRequests = 1000

// newCreditGates returns gates whose servers are idle, or too busy in the named regions. The
// totals that the gate here has of the others say idle.
func newCreditGates(t *testing.T, busy ...string) *creditGates {
	t.Helper()
	out := &creditGates{credits: &creditScript{withheld: map[string]bool{}}, servers: map[string]*backend{}}
	list := routes()
	for i := range list {
		list[i].LatencyObjective = creditObjective
		for _, home := range list[i].HomeRegions {
			list[i].HomeRegions = []string{strings.Replace(home, "there", "near", 1)}
		}
	}
	var hosts []wheelgauge.FleetHost
	var loads []wheelgauge.RegionUsage
	for _, region := range []string{"near", "far", "here"} {
		b := newBackend(t)
		g, c := newGate(t, list, b)
		g.options.Region, g.options.Credits = region, out.credits
		out.servers[region] = b
		for _, name := range busy {
			if name != region {
				continue
			}
			for range busyRequests {
				g.options.Servers.Choose(anyJob())
			}
		}
		if region == "here" {
			out.here, out.caller = g, c
			continue
		}
		hosts = append(hosts, wheelgauge.FleetHost{Name: region, Region: region, PeerAddress: peerConn(t, g).RemoteAddr().String(), Ready: true})
		loads = append(loads, wheelgauge.RegionUsage{Region: region, Services: []wheelgauge.ServiceUsage{{Service: "s", Servers: 1, Slots: 4}}})
	}
	out.here.options.Budget = retrybudget.New(retrybudget.Options{Window: 10 * time.Second}, time.Now) // allows no retry
	out.here.options.Peers.UpdateHosts(hosts, nil)
	out.here.options.Peers.SetLoads(loads)
	out.here.options.Peers.ObserveRoundTrip("near", time.Millisecond)
	return out
}

// A request that a region turns back goes to the next region, to the servers here, or is
// refused; it runs once at most, and needs no retry from the budget.
func TestTurnedBack(t *testing.T) {
	const short, long = 2 * time.Millisecond, 2 * time.Second
	tests := []struct {
		name string
		path string
		// far is the round trip to the region far.
		far      time.Duration
		busy     []string
		withheld []string
		status   int
		servedBy string
		taken    string
		back     string
	}{
		{"near has room", "/once/", short, []string{"here"}, nil, 200, "near", "near", ""},
		{"here has room", "/once/", short, []string{"near", "far"}, nil, 200, "here", "", ""},
		{"near turns back, far has room", "/once/", short, []string{"here", "near"}, nil, 200, "far", "near far", "near"},
		{"near turns back a repeatable one", "/safe/", short, []string{"here", "near"}, nil, 200, "far", "near far", "near"},
		{"near turns back, no credit for far", "/once/", short, []string{"here", "near"}, []string{"far"}, 503, "", "near far", "near"},
		{"all turn back", "/once/", short, []string{"here", "near", "far"}, nil, 503, "", "near far", "near far"},
		{"no time for a second one", "/once/", long, []string{"here", "near"}, nil, 503, "", "near", "near"},
		{"no credit for near", "/once/", short, []string{"here"}, []string{"near"}, 200, "far", "near far", ""},
		{"no credit", "/once/", short, []string{"here"}, []string{"near", "far"}, 503, "", "near far", ""},
		{"no credit for near at first, far turns back", "/once/", short, []string{"here", "far"}, []string{"near"}, 503, "", "near far near", "far"},
		{"it may not run here and needs no credit", "/away/", short, nil, []string{"near", "far"}, 200, "near", "", ""},
		{"it may not run here and is turned back", "/away/", short, []string{"near"}, nil, 503, "", "", "near"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newCreditGates(t, tt.busy...)
			g.here.options.Peers.ObserveRoundTrip("far", tt.far)
			for _, region := range tt.withheld {
				g.credits.withheld[region] = true
			}
			resp, body, err := get(t, g.caller, tt.path, "")
			if err != nil || resp.StatusCode != tt.status {
				t.Fatalf("got %v %s, %v, want %d", resp, body, err, tt.status)
			}
			if tt.status != http.StatusOK {
				if resp.Header.Get(wheelgauge.HeaderOutcome) != string(wheelgauge.OutcomeNotRun) || resp.Header.Get(wheelgauge.HeaderReason) != string(wheelgauge.ReasonOverloaded) {
					t.Errorf("refused with headers %v, want not run and overloaded", resp.Header)
				}
			}
			for region, b := range g.servers {
				want := 0
				if region == tt.servedBy {
					want = 1
				}
				if got := len(b.received()); got != want {
					t.Errorf("the server of region %s got %d requests, want %d", region, got, want)
				}
			}
			if got := strings.Join(g.credits.taken, " "); got != tt.taken {
				t.Errorf("credits were taken for %q, want %q", got, tt.taken)
			}
			if got := strings.Join(g.credits.turnedBack, " "); got != tt.back {
				t.Errorf("turned back by %q, want %q", got, tt.back)
			}
			if got := counterValue(t, g.here, forwardExempt) > 0; got != (tt.path == "/away/") {
				t.Errorf("counted as sent without a credit: %t", got)
			}
		})
	}
}

// A dispatch that chooses a region again, for another version, takes no second credit for it.
func TestOneCreditForADispatch(t *testing.T) {
	g := newCreditGates(t)
	c := &call{gate: g.here, service: "s"}
	for _, region := range []string{"near", "near", "far"} {
		if !c.takeCredit(region, true) {
			t.Errorf("no credit for %s", region)
		}
	}
	if got := strings.Join(g.credits.taken, " "); got != "near far" {
		t.Errorf("credits were taken for %q, want one each for near and far", got)
	}
}

// A gateway that turned a request back gets the next one, without a pause.
func TestTurningBackIsNoFailure(t *testing.T) {
	g := newCreditGates(t, "here", "near")
	g.here.options.Peers.ObserveRoundTrip("far", 2*time.Millisecond)
	for range 3 {
		if resp, _, err := get(t, g.caller, "/once/", ""); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("got %v, %v, want 200", resp, err)
		}
	}
	if got := len(g.credits.turnedBack); got != 3 {
		t.Errorf("near turned back %d requests, want 3", got)
	}
}

// Without credits a forwarded request is never turned back, however late it would be.
func TestNothingIsTurnedBackWithoutCredits(t *testing.T) {
	b := newBackend(t)
	list := routes()
	for i := range list {
		list[i].LatencyObjective = creditObjective
	}
	g, _ := newGate(t, list, b)
	for range busyRequests {
		g.options.Servers.Choose(anyJob())
	}
	if resp, _, err := get(t, peerConn(t, g), "/once/", ""); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("got %v, %v, want 200", resp, err)
	}
}

// A receiver that dies is a failed gateway: the request that it may have run is not sent again,
// and no credit is blocked for its region.
func TestReceiverDies(t *testing.T) {
	g := newCreditGates(t, "here")
	dead := listen(t, func(c net.Conn) { _ = c.Close() })
	g.here.options.Peers.UpdateHosts([]wheelgauge.FleetHost{{Name: "dead", Region: "near", PeerAddress: dead.Addr().String(), Ready: true}}, []string{"near", "far"})
	resp, _, err := get(t, g.caller, "/once/", "")
	if err != nil || resp.StatusCode != http.StatusBadGateway || resp.Header.Get(wheelgauge.HeaderOutcome) != string(wheelgauge.OutcomeUnknown) {
		t.Errorf("got %v, %v, want 502 of unknown outcome", resp, err)
	}
	if len(g.credits.turnedBack) > 0 {
		t.Errorf("the dead gateway counts as turning back: %v", g.credits.turnedBack)
	}
}

// A region that lacks room after a server there refused the request has used a send: it turns
// nothing back, and the next send needs a retry from the budget.
func TestNoRoomAfterASend(t *testing.T) {
	g := newCreditGates(t, "here")
	peer := listen(t, func(c net.Conn) {
		defer c.Close()
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		h := http.Header{}
		h.Set(wheelgauge.HeaderOutcome, string(wheelgauge.OutcomeNotRun))
		h.Set(wheelgauge.HeaderReason, string(wheelgauge.ReasonNoRoom))
		h.Set(wheelgauge.HeaderSends, "1")
		h.Set(g.here.options.Names.RequestID, req.Header.Get(g.here.options.Names.RequestID))
		_ = (&http.Response{StatusCode: http.StatusServiceUnavailable, ProtoMajor: 1, ProtoMinor: 1, Header: h}).Write(c)
	})
	g.here.options.Peers.UpdateHosts([]wheelgauge.FleetHost{{Name: "peer", Region: "near", PeerAddress: peer.Addr().String(), Ready: true}}, []string{"near", "far"})
	resp, _, err := get(t, g.caller, "/once/", "")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(wheelgauge.HeaderOutcome) != string(wheelgauge.OutcomeNotRun) {
		t.Errorf("got %v, %v, want 503 not run", resp, err)
	}
	if len(g.credits.taken) != 1 || len(g.credits.turnedBack) > 0 {
		t.Errorf("credits were taken for %v, turned back by %v; want one and none", g.credits.taken, g.credits.turnedBack)
	}
}

// A request that is turned back is not in flight at the receiver, so a sender that dies then leaves
// nothing behind.
func TestSenderDies(t *testing.T) {
	g := newCreditGates(t, "here", "near", "far")
	c := peerConn(t, g.here)
	if resp, _, err := get(t, c, "/once/", ""); err != nil || resp.Header.Get(wheelgauge.HeaderReason) != string(wheelgauge.ReasonNoRoom) || resp.Header.Get(wheelgauge.HeaderSends) != "" {
		t.Fatalf("got %v, %v, want no room and no send", resp, err)
	}
	_ = c.Close()
	uses, _ := g.here.options.Servers.Uses()
	if len(uses) != 1 || uses[0].Running != busyRequests {
		t.Errorf("in flight are %+v, want the %d from before", uses, busyRequests)
	}
}

// Log lines on credits are bounded, and say how many were left out.
func TestCreditLogIsBounded(t *testing.T) {
	var l creditLog
	at := time.Unix(1000, 0)
	logged, skipped := 0, 0
	for range 100 {
		if n, ok := l.due(forwardSent, "s", "near", at); ok {
			logged, skipped = logged+1, skipped+n
		}
		at = at.Add(creditLogInterval / 10)
	}
	if logged != 10 || skipped != 81 {
		t.Errorf("%d lines that count %d others, want 10 and 81", logged, skipped)
	}
}

// A waiting request counts on another region only if a credit for it is left. A credit is a part of
// the region's room, so that even a large one is less than 1.
func TestWaitingCountsOnCredits(t *testing.T) {
	tests := []struct {
		name   string
		credit wheelgauge.ForwardCredit
		want   bool
	}{
		{"load of the region unknown", wheelgauge.ForwardCredit{}, true},
		{"a part of the room", wheelgauge.ForwardCredit{Known: true, Requests: 100, Left: 0.05}, true},
		{"used up", wheelgauge.ForwardCredit{Known: true, Requests: 100}, false},
		{"held", wheelgauge.ForwardCredit{Known: true, Requests: 100, Left: 0.05, Held: true}, false},
	}
	for _, tt := range tests {
		c := &call{gate: New(Options{Credits: &creditScript{credit: tt.credit}})}
		if got := c.hasCredit("near"); got != tt.want {
			t.Errorf("%s: %t, want %t", tt.name, got, tt.want)
		}
	}
}
