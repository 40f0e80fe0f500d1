package routegate

import (
	"net/http"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/callerhttp"
	"wheelgauge/fake/manualclock"
	"wheelgauge/fake/suspendclock"
	"wheelgauge/forwardcredits"
	"wheelgauge/prompt"
	"wheelgauge/serverset"
	"wheelgauge/waitroom"
)

// lateCall is a new call of a stream with an objective of a second, at a gate with an engine model
// or without one.
func lateCall(t *testing.T, model bool) *call {
	t.Helper()
	var m *scriptedModel
	if model {
		m = &scriptedModel{}
	}
	g, _ := newModelGate(t, m)
	r := &wheelgauge.PathRoute{Name: "r", Kind: wheelgauge.RouteStream, LatencyObjective: time.Second}
	return &call{gate: g, route: r, request: &callerhttp.Request{}, service: "s", started: time.Now()}
}

// What congestion adds is in a learned forecast: the limit is lowered only without a model.
func TestCongestionLowersLimitWithoutModel(t *testing.T) {
	for _, tt := range []struct {
		name  string
		model bool
		limit time.Duration
	}{
		{"with a model", true, 1500 * time.Millisecond},
		{"without one", false, 750 * time.Millisecond},
	} {
		c := lateCall(t, tt.model)
		for range 100 {
			c.gate.waits.observe("r", time.Second, time.Second)
		}
		if c.tooLate(tt.limit-time.Millisecond) || !c.tooLate(tt.limit+time.Millisecond) {
			t.Errorf("%s: not refused from %s on", tt.name, tt.limit)
		}
	}
}

// A request whose caller gives up before the first event is refused, also where its objective
// would allow the wait. The time since its arrival counts, also while the host is suspended.
func TestSilenceLimit(t *testing.T) {
	const limit = 1200 * time.Millisecond
	tests := []struct {
		name            string
		limit           time.Duration
		model           bool
		before, suspend time.Duration
		wait            time.Duration
		late            bool
	}{
		{"within the limit", limit, true, 0, 0, time.Second, false},
		{"beyond it", limit, true, 0, 0, 1300 * time.Millisecond, true},
		{"beyond it with what has passed", limit, true, time.Second, 0, 300 * time.Millisecond, true},
		{"beyond it with a suspension", limit, true, 0, time.Second, 300 * time.Millisecond, true},
		{"no limit", 0, true, time.Second, 0, 1300 * time.Millisecond, false},
		{"neither model nor room", limit, false, time.Second, 0, 300 * time.Millisecond, false},
	}
	for _, tt := range tests {
		c := lateCall(t, tt.model)
		clock := &suspendclock.Clock{}
		c.gate.options.Clock = clock
		c.route.SilenceLimit = tt.limit
		c.started = c.started.Add(-tt.before)
		clock.Suspend(tt.suspend)
		if got := c.tooLate(tt.wait); got != tt.late {
			t.Errorf("%s: refused as late %t, want %t", tt.name, got, tt.late)
		}
	}
}

// A stream that has begun elsewhere, such as in another region, and broke off goes on, however
// long its next part takes: it is not refused as one that nobody has run.
func TestBegunStreamIsNotLate(t *testing.T) {
	for _, model := range []bool{false, true} {
		c := lateCall(t, model)
		c.route.SilenceLimit = 2 * time.Second
		if !c.tooLate(time.Hour) {
			t.Error("a new request that waits for an hour is not late")
		}
		c.runs = 1
		if c.tooLate(time.Hour) {
			t.Error("a stream that has begun is refused as late")
		}
	}
}

// A request is held back only where it would wait for a slot although it can wait at a host.
func TestHeldBack(t *testing.T) {
	tests := []struct {
		name   string
		change func(c *call)
		want   bool
	}{
		{"less urgent, no slot", func(*call) {}, true},
		{"the most urgent", func(c *call) { c.rank = 0 }, false},
		{"no waiting room", func(c *call) { c.gate.options.Room = nil }, false},
		{"sent before", func(c *call) { c.sends = 1 }, false},
		{"run before", func(c *call) { c.runs = 1 }, false},
		{"no objective", func(c *call) { c.route.LatencyObjective = 0 }, false},
		{"forwarded, may be turned back", func(c *call) { c.forwarded = true }, true},
		{"forwarded, may not be turned back", func(c *call) { c.forwarded, c.gate.options.Credits = true, nil }, false},
		{"forwarded, sent before", func(c *call) { c.forwarded, c.sends = true, 1 }, false},
	}
	for _, tt := range tests {
		c := lateCall(t, true)
		c.rank = 2
		c.gate.options.Room = (*waitroom.Room)(nil)
		c.gate.options.Credits = (*forwardcredits.Ledger)(nil)
		tt.change(c)
		for _, running := range []int{23, 24} {
			e := loadedEstimate(c, running)
			if got := c.heldBack(e); got != (tt.want && running == 24) {
				t.Errorf("%s: held back %t with %d of 24 slots taken", tt.name, got, running)
			}
		}
	}
}

// loadedEstimate is the estimate for a region of one engine with 24 slots, at which running others
// as urgent as the call run and one goes by the mean to the least loaded.
func loadedEstimate(c *call, running int) serverset.Estimate {
	u := wheelgauge.ServiceUsage{Service: "s", Servers: 1, Slots: 24, Running: running + 1, Work: wheelgauge.Work{{Rank: c.rank, Running: running + 1}}}
	return c.gate.options.Servers.PredictAt(wheelgauge.Service{Name: "s", KVCacheTokens: 600_000}, u, serverset.NewJob("s", c.prompt, c.rank, nil))
}

// A server that was slow for some seconds stayed idle for many more, as each request was refused as
// late by what its earlier ones had waited.
func TestIdleServerIsTriedAgain(t *testing.T) {
	clock := manualclock.New()
	serveSlowly := func(g *Gate, took time.Duration) {
		for range 100 {
			k := g.options.Servers.Choose(serverset.NewJob("s", prompt.Prompt{}, 0, nil))
			clock.Advance(took)
			k.Done(serverset.Served)
		}
	}
	tests := []struct {
		name   string
		change func(g *Gate, b *backend)
		status []int // of requests one after the other
		sent   int   // of them to the server
	}{
		{"idle", func(*Gate, *backend) {}, []int{http.StatusOK, http.StatusOK}, 2},
		{"something in progress there", func(g *Gate, _ *backend) {
			g.options.Servers.Choose(serverset.NewJob("s", prompt.Prompt{}, 0, nil))
		}, []int{http.StatusServiceUnavailable, http.StatusServiceUnavailable}, 0},
		{"it was slower than the caller's time", func(g *Gate, _ *backend) { serveSlowly(g, 10*time.Minute) }, []int{http.StatusServiceUnavailable, http.StatusServiceUnavailable}, 0},
		{"failing", func(_ *Gate, b *backend) { b.fallback = failureAnswer }, []int{http.StatusInternalServerError, http.StatusInternalServerError}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			list := routes()
			for i := range list {
				list[i].LatencyObjective = time.Second
			}
			b := newBackend(t)
			g, c := newGate(t, list, b)
			g.waits.now = func() time.Time { return time.Unix(1000, 0) }
			for range 200 {
				g.waits.observe("once", time.Millisecond, 10*time.Minute)
			}
			servers := serverset.New(serverset.Place{Host: "g", Hall: "h", Peers: []string{"g"}}, func(string) *wheelgauge.Service { return &wheelgauge.Service{Name: "s", MaxConns: 100} }, clock.Now)
			servers.Update([]wheelgauge.Server{{Instance: "i0", Service: "s", Address: b.conn.Addr().String(), Hall: "h", Slots: 4}}, nil, clock.Now())
			t.Cleanup(servers.Close)
			g.options.Servers = servers
			serveSlowly(g, 5*time.Second)
			tt.change(g, b)
			for n, want := range tt.status {
				resp, _, err := get(t, c, "/once/", "")
				if err != nil || resp.StatusCode != want {
					t.Errorf("request %d got %v, %v, want %d", n, resp, err, want)
				}
			}
			if got := len(b.received()); got != tt.sent {
				t.Errorf("the server got %d requests, want %d", got, tt.sent)
			}
		})
	}
}
