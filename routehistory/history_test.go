package routehistory

import (
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/routetable"
)

// returnTime is how long after its end a stream may be taken up.
const returnTime = 10 * time.Second

func table(routes ...wheelgauge.PathRoute) *routetable.Table {
	for i := range routes {
		routes[i].Host, routes[i].Kind, routes[i].Resumable = "h.example", wheelgauge.RouteStream, true
	}
	return routetable.New(&wheelgauge.RouteSet{Routes: routes})
}

func route(prefix string, timeout time.Duration, services ...string) wheelgauge.PathRoute {
	r := wheelgauge.PathRoute{Prefix: prefix, Timeout: timeout}
	for _, s := range services {
		r.Shares = append(r.Shares, wheelgauge.TrafficShare{Service: s, Weight: 1})
	}
	return r
}

func TestServiceThatCanHaveBegunAStream(t *testing.T) {
	const short, long = 3 * time.Second, 30 * time.Second
	type step struct {
		at    time.Duration
		table *routetable.Table
	}
	one, other := table(route("/a/", short, "s")), table(route("/a/", short, "x"))
	closed := route("/a/", short, "s", "x")
	closed.Shares[1].Weight = 0
	tests := []struct {
		name     string
		steps    []step
		at       time.Duration
		want     string // empty if there were several
		period   time.Duration
		complete bool
	}{
		{"no configuration", nil, time.Hour, "", 0, false},
		{"one service for long", []step{{0, one}}, short + returnTime, "s", short + returnTime, true},
		{"one service, known for less", []step{{0, one}}, short + returnTime - 1, "s", short + returnTime, false},
		{"several services", []step{{0, table(route("/a/", short, "s", "x"))}}, time.Hour, "", 0, false},
		{"one of two gets nothing", []step{{0, table(closed)}}, time.Hour, "s", short + returnTime, true},
		{"moved lately", []step{{0, one}, {time.Minute, other}}, time.Minute + short + returnTime, "", 0, false},
		{"moved long ago", []step{{0, one}, {time.Minute, other}}, time.Minute + short + returnTime + 1, "x", short + returnTime, true},
		{"moved and back", []step{{0, one}, {time.Minute, other}, {time.Minute + 1, one}}, time.Minute + returnTime, "", 0, false},
		{"a second service lately", []step{{0, one}, {time.Minute, table(route("/a/", short, "s", "x"))}, {time.Minute + 1, one}}, time.Minute + returnTime, "", 0, false},
		{"a longer prefix lately", []step{{0, table(route("/a/", short, "s"), route("/a/b/", short, "x"))}, {time.Minute, one}}, time.Minute + returnTime, "", 0, false},
		{"a longer prefix of others", []step{{0, table(route("/a/", short, "s"), route("/a/c/", short, "x"))}, {time.Minute, one}}, time.Minute + returnTime, "s", short + returnTime, true},
		{"a longer timeout lately", []step{{0, table(route("/a/", long, "s"))}, {time.Minute, one}}, time.Minute + returnTime, "s", long + returnTime, true},
		{"moved with a longer timeout", []step{{0, table(route("/a/", long, "x"))}, {time.Minute, one}}, time.Minute + long + returnTime, "", 0, false},
		{"no route lately", []step{{0, one}, {time.Minute, table()}, {time.Minute + 1, one}}, time.Minute + returnTime, "s", short + returnTime, true},
		{"no route now", []step{{0, one}, {time.Minute, table()}}, time.Hour, "", 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			at := start
			h := New(func() time.Time { return at })
			for _, s := range tt.steps {
				at = start.Add(s.at)
				h.Add(s.table)
			}
			at = start.Add(tt.at)
			service, period, ok, complete := h.SoleService("h.example:80", "/a/b/c?q=1", returnTime)
			if ok != (tt.want != "") || service != tt.want || period != tt.period || complete != tt.complete {
				t.Errorf("got %q, %v, %v, complete %v, want %q, %v, complete %v", service, period, ok, complete, tt.want, tt.period, tt.complete)
			}
		})
	}
}

func TestManyConfigurationsAreNotRemembered(t *testing.T) {
	at := time.Unix(1000, 0)
	h := New(func() time.Time { return at })
	for range 3 * capacity {
		h.Add(table(route("/a/", time.Second, "s")))
	}
	if len(h.entries) != capacity {
		t.Errorf("got %d configurations, want %d", len(h.entries), capacity)
	}
	at = at.Add(2 * retention)
	h.Add(table())
	h.Add(table())
	if len(h.entries) > 3 {
		t.Errorf("got %d configurations after a long time, want 3 at most", len(h.entries))
	}
}
