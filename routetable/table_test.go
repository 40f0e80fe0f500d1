package routetable

import (
	"strings"
	"testing"
	"time"

	"wheelgauge"
)

func route(name, host, prefix string) wheelgauge.PathRoute {
	return wheelgauge.PathRoute{
		Name: name, Host: host, Prefix: prefix, Kind: wheelgauge.RouteRepeatable, Timeout: time.Second,
		Shares: []wheelgauge.TrafficShare{{Service: "s", Weight: 1}},
	}
}

func set(routes ...wheelgauge.PathRoute) *wheelgauge.RouteSet {
	return &wheelgauge.RouteSet{Version: 1, Routes: routes, Services: []wheelgauge.Service{{Name: "s"}, {Name: "t"}}}
}

func TestMatch(t *testing.T) {
	table := New(set(route("root", "a.example", "/"), route("x", "a.example", "/x/"), route("xy", "a.example", "/x/y/"), route("b", "b.example", "/x/")))
	tests := []struct{ host, path, want string }{
		{"a.example", "/", "root"},
		{"a.example", "/x", "root"},
		{"a.example", "/x/1", "x"},
		{"a.example", "/x/y/1?q=/z/", "xy"},
		{"A.Example:8080", "/x/", "x"},
		{"b.example", "/", ""},
		{"b.example", "/?p=/x/", ""},
		{"c.example", "/x/", ""},
	}
	for _, tt := range tests {
		got := ""
		if r := table.Match(tt.host, tt.path); r != nil {
			got = r.Name
		}
		if got != tt.want {
			t.Errorf("%s%s: got %q, want %q", tt.host, tt.path, got, tt.want)
		}
	}
}

func TestCheckRoutes(t *testing.T) {
	change := func(f func(r *wheelgauge.PathRoute)) *wheelgauge.RouteSet {
		r := route("r", "a.example", "/x/")
		f(&r)
		return set(r)
	}
	tests := []struct {
		name string
		set  *wheelgauge.RouteSet
		want string
	}{
		{"good", set(route("r", "a.example", "/x/")), ""},
		{"unknown service", change(func(r *wheelgauge.PathRoute) { r.Shares[0].Service = "u" }), "service"},
		{"no weight", change(func(r *wheelgauge.PathRoute) { r.Shares[0].Weight = 0 }), "weights"},
		{"negative weight", change(func(r *wheelgauge.PathRoute) { r.Shares[0].Weight = -1 }), "weight"},
		{"no timeout", change(func(r *wheelgauge.PathRoute) { r.Timeout = 0 }), "timeout"},
		{"unknown kind", change(func(r *wheelgauge.PathRoute) { r.Kind = "odd" }), "kind"},
		{"no host", change(func(r *wheelgauge.PathRoute) { r.Host = "" }), "host"},
		{"prefix without slash", change(func(r *wheelgauge.PathRoute) { r.Prefix = "/x" }), "prefix"},
		{"same place", set(route("r", "a.example", "/x/"), route("q", "A.example", "/x/")), "same host and prefix"},
		{"service twice", &wheelgauge.RouteSet{Services: []wheelgauge.Service{{Name: "s"}, {Name: "s"}}}, "twice"},
	}
	for _, tt := range tests {
		err := Check(tt.set)
		if tt.want == "" && err != nil || tt.want != "" && (err == nil || !strings.Contains(err.Error(), tt.want)) {
			t.Errorf("%s: got error %v, want one that contains %q", tt.name, err, tt.want)
		}
	}
}

func TestPickByWeight(t *testing.T) {
	r := route("r", "a.example", "/")
	r.Shares = []wheelgauge.TrafficShare{{Service: "s", Weight: 3}, {Service: "t", Weight: 1}, {Service: "u", Weight: 0}}
	count := map[string]int{}
	for range 4000 {
		count[PickService(&r)]++
	}
	if count["u"] > 0 || count["s"] < 2700 || count["s"] > 3300 {
		t.Errorf("got %v of 4000 picks, want about 3000 of s, 1000 of t and none of u", count)
	}
}

// BenchmarkDigest is what a forwarded request costs to tell its route.
func BenchmarkDigest(b *testing.B) {
	r := &wheelgauge.PathRoute{Prefix: "/app/", Kind: wheelgauge.RouteRepeatable, MaxAttempts: 2, HomeRegions: []string{"north"}, Shares: []wheelgauge.TrafficShare{{Service: "a", Weight: 9}, {Service: "b", Weight: 1}}}
	w := &wheelgauge.Workspace{Name: "w", HomeRegions: []string{"north"}}
	b.ReportAllocs()
	for b.Loop() {
		Digest(r, w)
	}
}
