package routegate

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/callerhttp"
	"wheelgauge/fake/manualclock"
	"wheelgauge/quarantine"
	"wheelgauge/reachability"
	"wheelgauge/retrybudget"
)

// region tells a gate of a region with one gateway and one server of service s.
func knowRegion(g *Gate, h wheelgauge.FleetHost, servers int) {
	h.Ready = true
	g.options.Peers.UpdateHosts([]wheelgauge.FleetHost{h}, nil)
	g.options.Peers.SetLoads([]wheelgauge.RegionUsage{{Region: h.Region, Services: []wheelgauge.ServiceUsage{{Service: "s", Servers: servers, Slots: 4}}}})
}

// What moves is decided before anything is ended: a request whose server is silent goes elsewhere only
// where it can go on there, and waits on otherwise.
func TestSilentRequestMovesOnlyWhereItCanGoOn(t *testing.T) {
	far := wheelgauge.FleetHost{Name: "f", Region: "far", PeerAddress: "127.0.0.1:1"}
	tests := []struct {
		name   string
		change func(c *call, h *wheelgauge.FleetHost)
		want   string
	}{
		{"another region", func(*call, *wheelgauge.FleetHost) {}, "far"},
		{"bound to this region by its route", func(c *call, _ *wheelgauge.FleetHost) { c.route.HomeRegions = []string{"here"} }, ""},
		{"bound to this region by its workspace", func(c *call, _ *wheelgauge.FleetHost) {
			c.workspace = &wheelgauge.Workspace{HomeRegions: []string{"here"}}
		}, ""},
		{"may not run twice", func(c *call, _ *wheelgauge.FleetHost) { c.route.Kind = wheelgauge.RouteOnce }, ""},
		{"a stream that may be resumed", func(c *call, _ *wheelgauge.FleetHost) {
			c.route.Kind, c.route.Resumable = wheelgauge.RouteStream, true
		}, "far"},
		{"a stream that may not", func(c *call, _ *wheelgauge.FleetHost) { c.route.Kind = wheelgauge.RouteStream }, ""},
		{"a stream that has begun without numbers", func(c *call, _ *wheelgauge.FleetHost) {
			c.route.Kind, c.route.Resumable, c.origin = wheelgauge.RouteStream, true, &streamOrigin{service: "s"}
			c.splitter.Feed([]byte("data: x\n\n"))
		}, ""},
		{"a stream begun by who knows what", func(c *call, _ *wheelgauge.FleetHost) {
			c.route.Kind, c.route.Resumable, c.lastEventID = wheelgauge.RouteStream, true, "1"
		}, ""},
		{"a stream of a version that is not there", func(c *call, _ *wheelgauge.FleetHost) {
			c.route.Kind, c.route.Resumable, c.lastEventID, c.origin = wheelgauge.RouteStream, true, "1", &streamOrigin{service: "s", version: "v9"}
		}, ""},
		{"its last attempt", func(c *call, _ *wheelgauge.FleetHost) { c.runs = 2 }, ""},
		{"sent as often as may be", func(c *call, _ *wheelgauge.FleetHost) { c.sends = maxSends }, ""},
		{"forwarded here", func(c *call, _ *wheelgauge.FleetHost) { c.forwarded = true }, ""},
		{"its time is over", func(c *call, _ *wheelgauge.FleetHost) { c.deadline = time.Now().Add(-time.Second) }, ""},
		{"answers take longer than it has left", func(c *call, _ *wheelgauge.FleetHost) {
			c.gate.durations.observe(c.route.Name, time.Hour)
		}, ""},
		{"there was no credit for the region", func(c *call, _ *wheelgauge.FleetHost) { c.withheld = []string{"far"} }, "far"},
		{"the region has turned it back", func(c *call, _ *wheelgauge.FleetHost) {
			c.turnedBackBy, c.route.LatencyObjective = []string{"far"}, time.Second
		}, ""},
		{"the region has failed it", func(c *call, _ *wheelgauge.FleetHost) { c.failedRegions = []string{"far"} }, ""},
		{"its gateway was tried", func(c *call, _ *wheelgauge.FleetHost) { c.triedPeers = []string{"f"} }, ""},
		{"its gateway leaves", func(_ *call, h *wheelgauge.FleetHost) { h.Leaving = true }, ""},
		{"its gateway reaches no server", func(_ *call, h *wheelgauge.FleetHost) { h.OutOfReach = "s" }, ""},
		{"it has no servers", func(c *call, _ *wheelgauge.FleetHost) {
			knowRegion(c.gate, far, 0)
		}, ""},
		{"it is full", func(c *call, _ *wheelgauge.FleetHost) {
			c.route.LatencyObjective = time.Second
			c.gate.options.Peers.SetLoads([]wheelgauge.RegionUsage{{Region: "far", Services: []wheelgauge.ServiceUsage{{Service: "s", Servers: 1, Slots: 4, Running: 4000}}}})
		}, ""},
		{"this host leaves before the answer", func(c *call, _ *wheelgauge.FleetHost) {
			c.gate.ShutDownBy(time.Now().Add(time.Millisecond))
		}, ""},
		{"this host leaves after it", func(c *call, _ *wheelgauge.FleetHost) {
			c.gate.durations.observe(c.route.Name, 10*time.Millisecond)
			c.gate.ShutDownBy(time.Now().Add(time.Hour))
		}, "far"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, _ := newGate(t, routes())
			g.options.Quarantine = quarantine.New(time.Now)
			r := wheelgauge.PathRoute{Name: "r", Kind: wheelgauge.RouteRepeatable, Timeout: time.Minute, MaxAttempts: 2}
			c := &call{gate: g, route: &r, request: &callerhttp.Request{}, service: "s", started: time.Now(), deadline: time.Now().Add(time.Minute), sends: 1, runs: 1}
			knowRegion(g, far, 1)
			h := far
			tt.change(c, &h)
			if h != far {
				knowRegion(g, h, 1)
			}
			if got := c.moveTarget("here"); got != tt.want {
				t.Errorf("it moves to %q, want %q", got, tt.want)
			}
		})
	}
}

func TestForwardedRequestDoesNotMoveToAGatewayOfTheSameServers(t *testing.T) {
	g, _ := newGate(t, routes())
	r := wheelgauge.PathRoute{Name: "r", Kind: wheelgauge.RouteRepeatable, Timeout: time.Minute, MaxAttempts: 2}
	c := &call{gate: g, route: &r, request: &callerhttp.Request{}, service: "s", started: time.Now(), deadline: time.Now().Add(time.Minute), sends: 1, runs: 1, triedPeers: []string{"f"}}
	g.options.Peers.UpdateHosts([]wheelgauge.FleetHost{{Name: "f", Region: "far", PeerAddress: "127.0.0.1:1", Ready: true, OutOfReach: "s"}, {Name: "f2", Region: "far", PeerAddress: "127.0.0.1:2", Ready: true}}, nil)
	g.options.Peers.SetLoads([]wheelgauge.RegionUsage{{Region: "far", Services: []wheelgauge.ServiceUsage{{Service: "s", Servers: 1, Slots: 4}}}})
	g.options.Peers.ObserveRoundTrip("far", time.Millisecond)
	for _, tt := range []struct{ from, want string }{{"far", ""}, {"elsewhere", "far"}} {
		if got := c.moveTarget(tt.from); got != tt.want {
			t.Errorf("from %s it moves to %q, want %q", tt.from, got, tt.want)
		}
	}
}

// lastAnswer is a success that is the last of its connection.
const lastAnswer = "HTTP/1.1 200 OK\r\n" + signatureHeader + "Connection: close\r\nContent-Length: 2\r\n\r\nok"

// silentBackend reads requests, and answers none before it is told to.
type silentBackend struct {
	backend
	answer chan struct{}
	once   sync.Once
	// received gets each request, broken each that was ended before its answer.
	received, broken chan struct{}
}

func newSilentBackend(t *testing.T) *silentBackend {
	b := &silentBackend{answer: make(chan struct{}), received: make(chan struct{}, 16), broken: make(chan struct{}, 16)}
	b.conn = listen(t, func(c net.Conn) {
		defer c.Close()
		in := bufio.NewReader(c)
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		b.received <- struct{}{}
		ended := make(chan struct{})
		go func() {
			_, _ = in.ReadByte()
			close(ended)
		}()
		select {
		case <-b.answer:
			_, _ = c.Write([]byte(lastAnswer))
		case <-ended:
			b.broken <- struct{}{}
		}
	})
	t.Cleanup(b.answerAll)
	return b
}

// answerAll answers all requests from now on.
func (b *silentBackend) answerAll() { b.once.Do(func() { close(b.answer) }) }

// The only server of a region that is slow looks like one that is cut off: its requests were ended
// with 502 while it worked, and all others refused.
func TestSlowServersRequestsAreNotEnded(t *testing.T) {
	tests := []struct {
		name     string
		far      bool // there is another region
		budget   float64
		ended    int // of three requests, at the silent server
		farTakes int // of these three and one more
	}{
		{"nowhere else to go", false, 50, 0, 0},
		{"another region", true, 50, 3, 4},
		{"another region, no retry left", true, 0, 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b, far := newSilentBackend(t), newBackend(t)
			g, _ := newGate(t, routes(), &b.backend)
			clock := manualclock.New()
			g.options.Reach = reachability.New(clock.Now)
			g.options.Budget = retrybudget.New(retrybudget.Options{Slack: tt.budget, Window: time.Minute}, time.Now)
			ask := func() chan int {
				status := make(chan int, 1)
				c := serveGate(t, g)
				go func() {
					resp, _, err := get(t, c, "/safe/", "")
					if err != nil {
						t.Error(err)
						status <- 0
						return
					}
					status <- resp.StatusCode
				}()
				return status
			}
			var answers []chan int
			for range 3 {
				answers = append(answers, ask())
				<-b.received
			}
			if tt.far {
				knowRegion(g, wheelgauge.FleetHost{Name: "f", Region: "far", PeerAddress: far.conn.Addr().String()}, 1)
			}
			for range 12 {
				clock.Advance(250 * time.Millisecond)
				g.MoveSilent()
			}
			if !g.options.Reach.IsOutOfReach("s") {
				t.Error("the service is within reach for new requests")
			}
			clock.Advance(time.Millisecond)
			g.options.Reach.MayTry("s") // another probe is under way
			another := ask()
			if !tt.far {
				<-b.received
			} else if got := <-another; got != http.StatusOK {
				t.Errorf("a new request got %d, want 200", got)
			} else {
				another <- got
			}
			answers = append(answers, another)
			for range tt.ended {
				<-b.broken
			}
			b.answerAll()
			for i, status := range answers {
				if got := <-status; got != http.StatusOK {
					t.Errorf("request %d got %d, want 200", i, got)
				}
			}
			if n := len(far.received()); n != tt.farTakes || len(b.broken) > 0 {
				t.Errorf("the other region got %d requests, want %d; %d more were ended at their server than may move", n, tt.farTakes, len(b.broken))
			}
		})
	}
}

// A request that another region has got moves once that region says that it reaches no server, and
// not before.
func TestForwardedRequestMovesWhenItsGatewayReachesNoServer(t *testing.T) {
	near, far := newSilentBackend(t), newBackend(t)
	g, c := newGate(t, routes())
	clock := manualclock.New()
	g.options.Reach = reachability.New(clock.Now)
	hosts := []wheelgauge.FleetHost{{Name: "n", Region: "near", PeerAddress: near.conn.Addr().String(), Ready: true}, {Name: "f", Region: "far", PeerAddress: far.conn.Addr().String(), Ready: true}}
	usage := wheelgauge.ServiceUsage{Service: "s", Servers: 1, Slots: 4}
	peers := g.options.Peers
	peers.UpdateHosts(hosts, nil)
	peers.SetLoads([]wheelgauge.RegionUsage{{Region: "near", Services: []wheelgauge.ServiceUsage{usage}}, {Region: "far", Services: []wheelgauge.ServiceUsage{usage}}})
	peers.ObserveRoundTrip("near", time.Millisecond)
	done := make(chan string, 1)
	go func() {
		resp, body, err := get(t, c, "/safe/", "")
		done <- fmt.Sprint(resp != nil && resp.StatusCode == http.StatusOK, body, err)
	}()
	<-near.received
	move := func() {
		for range 12 {
			clock.Advance(250 * time.Millisecond)
			g.MoveSilent()
		}
	}
	move()
	select {
	case got := <-done:
		t.Fatalf("got %s while the gateway is only silent", got)
	default:
	}
	hosts[0].OutOfReach = "s"
	peers.UpdateHosts(hosts, nil)
	move()
	if got := <-done; got != "trueok<nil>" || len(far.received()) != 1 {
		t.Errorf("got %s after %d requests to the other region, want 200 after one", got, len(far.received()))
	}
}

// awaitMoved advances the clock of a tracker until its silent requests have had time to move.
func awaitMoved(g *Gate, clock *manualclock.Clock) (moved int) {
	for range 12 {
		clock.Advance(250 * time.Millisecond)
		_, n := g.options.Reach.MoveSilent()
		moved += n
	}
	return moved
}

func TestMovedRequestThatNoRegionTakesGoesBack(t *testing.T) {
	const requests = 9
	refusal := func(reason wheelgauge.Reason) string {
		return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: not-run\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", wheelgauge.HeaderOutcome, wheelgauge.HeaderReason, reason)
	}
	tests := []struct {
		name    string
		servers int
		// answer of the gateway of the other region; it is gone if empty.
		answer string
		// repeats that the retry budget allows.
		repeats float64
		capped  bool
	}{
		{"the only server, gone", 1, "", 50, false},
		{"the only server, no room", 1, refusal(wheelgauge.ReasonNoRoom), 50, false},
		{"the only server, out of reach", 1, refusal(wheelgauge.ReasonOutOfReach), 50, false},
		{"the only server, gone, few retries", 1, "", 10, false},
		{"three servers, gone, few retries", 3, "", 10, false},
		{"three servers, out of reach, few retries", 3, refusal(wheelgauge.ReasonOutOfReach), 10, false},
		{"taken, at its cap", 1, okAnswer, 50, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var silent []*silentBackend
			var list []*backend
			for range tt.servers {
				b := newSilentBackend(t)
				silent, list = append(silent, b), append(list, &b.backend)
			}
			g, _ := newGate(t, routes(), list...)
			headers := "Wheelgauge-Deadline-Ms: 8000\r\n"
			if tt.capped {
				withCaps(g, &fakeLimiter{remaining: requests})
				headers += "Wheelgauge-Key: capped-key\r\n"
			}
			clock := manualclock.New()
			g.options.Reach = reachability.New(clock.Now)
			g.options.Budget = retrybudget.New(retrybudget.Options{Slack: tt.repeats, Window: time.Minute}, time.Now)
			answers := make(chan int, requests)
			for range requests {
				c := serveGate(t, g)
				go func() {
					resp, _, err := get(t, c, "/safe/", headers)
					if err != nil {
						answers <- 0
						return
					}
					answers <- resp.StatusCode
				}()
			}
			for n := range requests {
				<-silent[n%tt.servers].received
			}
			address := "127.0.0.1:1"
			if tt.answer != "" {
				far := newBackend(t)
				far.fallback = tt.answer
				address = far.conn.Addr().String()
			}
			knowRegion(g, wheelgauge.FleetHost{Name: "f", Region: "far", PeerAddress: address, Ready: true}, 1)
			if moved := awaitMoved(g, clock); moved == 0 {
				t.Error("no request moves")
			}
			for _, b := range silent {
				b.answerAll()
			}
			for range requests {
				if status := <-answers; status != http.StatusOK {
					t.Errorf("a caller got %d, want 200", status)
				}
			}
		})
	}
}
