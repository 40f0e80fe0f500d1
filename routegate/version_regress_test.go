package routegate

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/routetable"
)

// versionRoutes returns the configuration of a version: its own route at two host names, a route
// that every version moves to a service of its own, and keys if there are any.
func versionRoutes(version uint64, keys ...string) *wheelgauge.RouteSet {
	set := &wheelgauge.RouteSet{Version: version}
	add := func(host, prefix, service string, homes ...string) {
		set.Routes = append(set.Routes, wheelgauge.PathRoute{
			Name: host + prefix, Host: host, Prefix: prefix, Kind: wheelgauge.RouteRepeatable, Timeout: testLimit, MaxAttempts: 2,
			Shares: []wheelgauge.TrafficShare{{Service: service, Weight: 1}}, HomeRegions: homes,
		})
	}
	for _, host := range []string{"h", "other"} {
		add(host, fmt.Sprintf("/v%d/", version), "s")
		add(host, "/kept/", "s")
	}
	add("h", "/moving/", fmt.Sprintf("s%d", version), "there")
	set.Routes[len(set.Routes)-1].Timeout -= time.Duration(version) * time.Second
	add("h", "/bound/", "s", "there")
	for _, name := range []string{"s", "s1", "s2", "s3"} {
		set.Services = append(set.Services, wheelgauge.Service{Name: name, MaxConns: 100})
	}
	for _, key := range keys {
		set.Workspaces = append(set.Workspaces, wheelgauge.Workspace{Name: "of " + key, Keys: []string{key}})
	}
	return set
}

// versionGate is a gate of a region with a server of each service, and the connection of a caller.
type versionGate struct {
	*Gate
	caller net.Conn
	// servers has one server of each service.
	servers map[string]*backend
	clock   *agedClock
	store   *knowledge
}

func newVersionGate(t *testing.T, region string, set *wheelgauge.RouteSet) *versionGate {
	t.Helper()
	v := &versionGate{servers: map[string]*backend{}, clock: &agedClock{}, store: &knowledge{}}
	v.Gate, v.caller = newGate(t, nil)
	v.options.Region, v.options.Clock, v.options.Lookup = region, v.clock, v.store
	var list []wheelgauge.Server
	for _, service := range []string{"s", "s1", "s2", "s3"} {
		b := newBackend(t)
		v.servers[service] = b
		list = append(list, wheelgauge.Server{Instance: service, Service: service, Address: b.conn.Addr().String(), Hall: "h", Slots: 4})
	}
	v.options.Servers.Update(list, nil, time.Now())
	v.SetTable(routetable.New(set))
	v.ConfirmConfig()
	return v
}

// age lets the configuration be unconfirmed for too long.
func (v *versionGate) age() { v.clock.age += 2 * staleConfigAge }

// forwardTo lets the gate forward to another one.
func (v *versionGate) forwardTo(t *testing.T, others ...*versionGate) {
	t.Helper()
	var hosts []wheelgauge.FleetHost
	for n, other := range others {
		hosts = append(hosts, wheelgauge.FleetHost{Name: fmt.Sprint("peer-", n), Region: other.options.Region, PeerAddress: peerConn(t, other.Gate).RemoteAddr().String(), Ready: true})
	}
	v.options.Peers.UpdateHosts(hosts, nil)
	v.options.Peers.SetLoads([]wheelgauge.RegionUsage{{Region: others[0].options.Region, Services: []wheelgauge.ServiceUsage{
		{Service: "s", Servers: 1, Slots: 4}, {Service: "s1", Servers: 1, Slots: 4}, {Service: "s2", Servers: 1, Slots: 4}, {Service: "s3", Servers: 1, Slots: 4},
	}}})
	v.options.Peers.ObserveRoundTrip(others[0].options.Region, time.Millisecond)
}

// status returns that of the answer to a request, at a host name.
func (v *versionGate) status(t *testing.T, host, path, key string) int {
	t.Helper()
	headers := ""
	if key != "" {
		headers = "Wheelgauge-Key: " + key + "\r\n"
	}
	resp, _, err := getFrom(t, v.caller, host, path, headers)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		if resp.Header.Get("Retry-After") == "" || resp.Header.Get(wheelgauge.HeaderOutcome) != string(wheelgauge.OutcomeNotRun) {
			t.Errorf("%s is refused without Retry-After, or not as not run", path)
		}
	}
	return resp.StatusCode
}

// ran returns how many requests the servers of a service got.
func (v *versionGate) ran(service string) int { return len(v.servers[service].received()) }

// A host served by what a store told it of a newer version, and then by the version held again.
func TestRequestsAreNotJudgedByAnOlderVersionThanOneBefore(t *testing.T) {
	const served, none, refused, unauthorized = http.StatusOK, http.StatusNotFound, http.StatusServiceUnavailable, http.StatusUnauthorized
	tell := func(version uint64, keys ...string) func(v *versionGate) {
		return func(v *versionGate) { v.store.newer = routetable.New(versionRoutes(version, keys...)) }
	}
	silent := func(v *versionGate) { v.store.newer = nil }
	confirm := func(v *versionGate) { v.ConfirmConfig() }
	hold := func(version uint64) func(v *versionGate) {
		return func(v *versionGate) {
			v.SetTable(routetable.New(versionRoutes(version)))
			v.ConfirmConfig()
		}
	}
	type request struct {
		do              func(v *versionGate)
		host, path, key string
		want            []int
	}
	learnt := request{tell(2), "h", "/v2/", "", []int{served}}
	tests := []struct {
		name     string
		keys     []string
		requests []request
	}{
		{"the store is silent", nil, []request{learnt, {silent, "h", "/v2/", "", []int{served, refused}}, {nil, "h", "/v1/", "", []int{none, refused}}, {nil, "h", "/kept/", "", []int{served, refused}}}},
		{"the store is silent, another host name", nil, []request{learnt, {silent, "other", "/v1/", "", []int{none, refused}}, {nil, "other", "/v2/", "", []int{served, refused}}}},
		{"a dropped route was refused", nil, []request{{tell(2), "h", "/v1/", "", []int{none}}, {silent, "h", "/v1/", "", []int{none, refused}}}},
		{"a store that lags is asked", nil, []request{learnt, {tell(1), "h", "/v2/", "", []int{served, refused}}, {nil, "h", "/v1/", "", []int{none, refused}}}},
		{"a store of a version between is asked", nil, []request{{tell(3), "h", "/v3/", "", []int{served}}, {tell(2), "h", "/v2/", "", []int{none, refused}}, {nil, "other", "/v2/", "", []int{none, refused}}}},
		{"the version held is confirmed", nil, []request{learnt, {confirm, "h", "/v2/", "", []int{served}}, {nil, "h", "/v1/", "", []int{none}}, {nil, "other", "/v1/", "", []int{none}}}},
		{"the version held is confirmed, the store is silent", nil, []request{learnt, {silent, "h", "/v1/", "", []int{none, refused}}, {confirm, "h", "/v1/", "", []int{none, refused}}, {nil, "other", "/v1/", "", []int{none, refused}}}},
		{"the whole version comes", nil, []request{learnt, {silent, "other", "/v1/", "", []int{none, refused}}, {hold(2), "other", "/v2/", "", []int{served}}, {nil, "h", "/v1/", "", []int{none}}, {nil, "h", "/v2/", "", []int{served}}}},
		{"a newer version comes", nil, []request{learnt, {silent, "h", "/v2/", "", []int{served, refused}}, {hold(3), "h", "/v2/", "", []int{none}}, {nil, "other", "/v3/", "", []int{served}}}},
		{"a version between comes", nil, []request{{tell(3), "h", "/v3/", "", []int{served}}, {silent, "h", "/v3/", "", []int{served, refused}}, {hold(2), "h", "/v2/", "", []int{none, refused}}, {nil, "other", "/v2/", "", []int{none, refused}}}},
		{"a key is dropped", []string{"a", "b"}, []request{{tell(2, "b"), "h", "/v2/", "b", []int{served}}, {nil, "h", "/v2/", "a", []int{unauthorized, refused}}, {silent, "h", "/kept/", "a", []int{unauthorized, refused}}}},
		{"a key is added", []string{"a"}, []request{{tell(2, "a", "b"), "h", "/v2/", "a", []int{served}}, {nil, "h", "/v2/", "b", []int{served}}, {silent, "h", "/kept/", "b", []int{served, refused}}}},
		{"keys are no longer needed", []string{"a"}, []request{{tell(2), "h", "/v2/", "a", []int{served}}, {nil, "h", "/v2/", "", []int{served}}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := newVersionGate(t, "here", versionRoutes(1, tt.keys...))
			v.age()
			for n, r := range tt.requests {
				if r.do != nil {
					r.do(v)
				}
				got := v.status(t, r.host, r.path, r.key)
				ok := false
				for _, want := range r.want {
					ok = ok || got == want
				}
				if !ok {
					t.Errorf("request %d, %s%s with key %q: got %d, want one of %v", n+1, r.host, r.path, r.key, got, r.want)
				}
			}
		})
	}
}

// A forwarded request was run by an older version than it was admitted by.
func TestForwardedRequestIsNotRunByAnOlderVersion(t *testing.T) {
	tests := []struct {
		name string
		path string
		// told is what the stores tell the second gateway, others the versions held by further ones.
		told   uint64
		others []uint64
		status int
		ran    string
	}{
		{"a route that moved", "/moving/", 0, nil, http.StatusServiceUnavailable, ""},
		{"a route that moved, a store tells", "/moving/", 2, nil, http.StatusOK, "s2"},
		{"a route that moved, a store tells of an older version", "/moving/", 1, nil, http.StatusServiceUnavailable, ""},
		{"a route that moved, another gateway holds it", "/moving/", 0, []uint64{2}, http.StatusOK, "s2"},
		{"a route that is the same", "/bound/", 0, nil, http.StatusOK, "s"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first, second := newVersionGate(t, "here", versionRoutes(2)), newVersionGate(t, "there", versionRoutes(1))
			gates := []*versionGate{second}
			for _, version := range tt.others {
				gates = append(gates, newVersionGate(t, "there", versionRoutes(version)))
			}
			if tt.told > 0 {
				second.store.newer = routetable.New(versionRoutes(tt.told))
			}
			first.forwardTo(t, gates...)
			for range 4 {
				if got := first.status(t, "h", tt.path, ""); got != tt.status && !(tt.others != nil && got == http.StatusServiceUnavailable) {
					t.Errorf("got %d, want %d", got, tt.status)
				}
			}
			if got := first.status(t, "h", "/bound/", ""); got != http.StatusOK {
				t.Errorf("got %d on a route that is the same, want 200", got)
			}
			for _, g := range gates {
				if n := g.ran("s1"); n > 0 {
					t.Errorf("%d requests are run by the service of version 1", n)
				}
			}
			if last := gates[len(gates)-1]; tt.ran != "" && last.ran(tt.ran) == 0 {
				t.Errorf("no request is run by service %s", tt.ran)
			}
		})
	}
}

// A forwarded request was run by a newer version than the first gateway went by afterwards.
func TestForwardingHostDoesNotGoBackBehindTheEffectOfANewerVersion(t *testing.T) {
	tests := []struct {
		name string
		path string
		// told is the version that the stores tell the first gateway.
		told uint64
		// moved is whether the request may be run, dropped whether the route of version 1 must be gone
		// afterwards.
		moved, dropped bool
	}{
		{"no store tells", "/moving/", 0, false, false},
		{"a store tells", "/moving/", 2, true, true},
		{"a store tells of an older version", "/moving/", 1, false, false},
		{"the route is the same", "/bound/", 0, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first, second := newVersionGate(t, "here", versionRoutes(1)), newVersionGate(t, "there", versionRoutes(2))
			if tt.told > 0 {
				first.store.newer = routetable.New(versionRoutes(tt.told))
			}
			first.forwardTo(t, second)
			stop, done := make(chan struct{}), make(chan struct{})
			go func() { // as on a host that was suspended
				defer close(done)
				for {
					select {
					case <-stop:
						return
					default:
						first.EndExpired()
					}
				}
			}()
			got := first.status(t, "h", tt.path, "")
			close(stop)
			<-done
			if want := map[bool]int{true: http.StatusOK, false: http.StatusServiceUnavailable}[tt.moved]; got != want {
				t.Errorf("%s: got %d, want %d", tt.path, got, want)
			}
			first.store.newer = nil
			shown := second.ran("s2") > 0
			if old := first.status(t, "h", "/v1/", ""); shown && old == http.StatusOK {
				t.Error("a route that version 2 dropped is served after its effect was seen")
			} else if !tt.dropped && old != http.StatusOK {
				t.Errorf("got %d on a route of the version held, want 200", old)
			}
		})
	}
}

// refundRecorder records the workspaces that units are refunded to.
type refundRecorder struct {
	fakeLimiter
	refunded []*wheelgauge.Workspace
}

func (r *refundRecorder) Refund(w *wheelgauge.Workspace, _ float64) {
	r.refunded = append(r.refunded, w)
}

// Units of a cap were refunded to the workspace, or to none, by which a request was judged anew.
func TestUnitsOfARequestThatIsJudgedAnewGoBackToTheirWorkspace(t *testing.T) {
	capped := versionRoutes(1, "a")
	capped.Workspaces[0].Cap = wheelgauge.Cap{Rate: 10}
	first, second := newVersionGate(t, "here", capped), newVersionGate(t, "there", versionRoutes(2, "a"))
	limiter := &refundRecorder{fakeLimiter: fakeLimiter{remaining: 8}}
	first.options.Caps = limiter
	first.store.newer = routetable.New(versionRoutes(2, "b")) // the key is dropped
	first.forwardTo(t, second)
	if got := first.status(t, "h", "/moving/", "a"); got != http.StatusUnauthorized && got != http.StatusServiceUnavailable {
		t.Errorf("got %d, want 401 or 503", got)
	}
	if len(limiter.refunded) != 1 || limiter.refunded[0] == nil || limiter.refunded[0].Name != "of a" {
		t.Errorf("units are refunded to %v, want once to the workspace that they were taken from", limiter.refunded)
	}
}

// What a caller says about versions counts for nothing.
func TestVersionSentByACallerIsIgnored(t *testing.T) {
	v := newVersionGate(t, "here", versionRoutes(1))
	resp, _, err := getFrom(t, v.caller, "h", "/kept/", wheelgauge.HeaderConfigVersion+": 9\r\n")
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("got %v, %v, want 200", resp, err)
	}
	if got := v.servers["s"].received()[0].Get(wheelgauge.HeaderConfigVersion); got != "" {
		t.Errorf("a server got version %q", got)
	}
}
