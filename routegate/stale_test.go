package routegate

import (
	"context"
	"net/http"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/routetable"
)

// knowledge is a store that knows a newer configuration, and which servers have left.
type knowledge struct {
	newer *routetable.Table
	gone  map[string]bool
	asked int
}

func (k *knowledge) Routes(_ context.Context, q wheelgauge.RouteQuery) (wheelgauge.LookupResponse, bool) {
	k.asked++
	if k.newer == nil || k.newer.Version() <= q.Version {
		return wheelgauge.LookupResponse{}, false
	}
	set, workspaces := k.newer.Part(q.LookupRequest)
	rows, err := routetable.Rows(set)
	return wheelgauge.LookupResponse{Version: k.newer.Version(), Rows: rows, Workspaces: &workspaces}, err == nil
}

func (k *knowledge) Gone(_ context.Context, instanceKey string, _ int64) bool {
	k.asked++
	return k.gone[instanceKey]
}

// agedClock is ahead of the time by an age.
type agedClock struct{ age time.Duration }

func (c *agedClock) Now() time.Time { return time.Now().Add(c.age) }

// A host that may hold an old configuration must not refuse a route that was added, nor serve one
// that was dropped, while a store can tell.
func TestOldConfigurationIsNotObeyed(t *testing.T) {
	added := routes()[0]
	added.Name, added.Prefix = "added", "/added/"
	newer := routetable.New(&wheelgauge.RouteSet{Version: 2, Routes: append(routes()[1:], added), Services: []wheelgauge.Service{{Name: "s", MaxConns: 100}}})
	dropped := routes()[0].Prefix
	tests := []struct {
		name   string
		age    time.Duration
		store  *routetable.Table
		path   string
		status int
		asked  bool
	}{
		{"a confirmed configuration", 0, newer, dropped, http.StatusOK, false},
		{"an old one, the route was dropped", 2 * staleConfigAge, newer, dropped, http.StatusNotFound, true},
		{"an old one, the route was added", 2 * staleConfigAge, newer, added.Prefix, http.StatusOK, true},
		{"an old one, and no store knows better", 2 * staleConfigAge, nil, dropped, http.StatusOK, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, c := newGate(t, routes(), newBackend(t))
			clock, store := &agedClock{}, &knowledge{newer: tt.store}
			g.options.Clock, g.options.Lookup = clock, store
			g.ConfirmConfig()
			clock.age = tt.age
			resp, body, err := get(t, c, tt.path, "")
			if err != nil || resp.StatusCode != tt.status || (store.asked > 0) != tt.asked {
				t.Errorf("got %v %s, %v, a store was asked: %v, want %d, %v", resp, body, err, store.asked > 0, tt.status, tt.asked)
			}
		})
	}
}

// A request does not go to a server that has left by the word of a store, whatever an old list says.
func TestServerOfAnOldListIsAskedFor(t *testing.T) {
	tests := []struct {
		name string
		age  time.Duration
		gone map[string]bool
		left [2]bool // servers that must get no request
		last int     // status of the last one
	}{
		{"a recent list", 0, map[string]bool{"i0": true, "i1": true}, [2]bool{}, http.StatusOK},
		{"an old list, the first has left", 2 * staleListAge, map[string]bool{"i0": true}, [2]bool{true, false}, http.StatusOK},
		{"an old list, the second has left", 2 * staleListAge, map[string]bool{"i1": true}, [2]bool{false, true}, http.StatusOK},
		{"an old list, both have left", 2 * staleListAge, map[string]bool{"i0": true, "i1": true}, [2]bool{true, true}, http.StatusServiceUnavailable},
		{"an old list, nobody knows of any that left", 2 * staleListAge, nil, [2]bool{}, http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			backends := []*backend{newBackend(t), newBackend(t)}
			g, c := newGate(t, routes(), backends...)
			g.options.Lookup = &knowledge{gone: tt.gone}
			g.options.Servers.ConfirmList(time.Now().Add(-tt.age))
			status := 0
			for range 8 {
				resp, _, err := get(t, c, "/safe/", "")
				if err != nil {
					t.Fatal(err)
				}
				status = resp.StatusCode
			}
			for i, b := range backends {
				if got := len(b.received()); tt.left[i] && got > 0 {
					t.Errorf("server %d got %d requests, but it has left", i, got)
				}
			}
			if status != tt.last {
				t.Errorf("the last request ended with %d, want %d", status, tt.last)
			}
		})
	}
}
