package routegate

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/routehistory"
	"wheelgauge/routetable"
	"wheelgauge/serverset"
)

// originScript holds origins, and records those that a gate shares.
type originScript struct {
	mu       sync.Mutex
	known    map[wheelgauge.StreamKey]wheelgauge.StreamOrigin
	sole     *wheelgauge.StreamOrigin
	recorded []wheelgauge.StreamOrigin
	implied  bool // of the last record
	several  bool
}

func (o *originScript) Record(r wheelgauge.StreamOrigin, implied bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.implied = implied
	o.recorded = append(o.recorded, r)
}

func (o *originScript) Find(_ context.Context, q wheelgauge.StreamQuery) (origin wheelgauge.StreamOrigin, ok, several bool) {
	if r, ok := o.known[q.Key]; ok {
		return r, true, false
	}
	if o.sole == nil || q.Service != o.sole.Service {
		return wheelgauge.StreamOrigin{}, false, o.several
	}
	return *o.sole, true, false
}

// versions returns the recorded versions by the ID of the request, of the IDs given.
func (o *originScript) versions(ids ...string) map[string]string {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := map[string]string{}
	for _, id := range ids {
		for _, r := range o.recorded {
			if r.Key == wheelgauge.NewStreamKey(id) {
				out[id] = r.Service + " " + r.Version
			}
		}
	}
	return out
}

func TestVersionOfAStreamIsReportedToGatewaysOnly(t *testing.T) {
	tests := []struct {
		name string
		peer bool
		want string
	}{
		{"to a caller", false, ""},
		{"to a gateway", true, "v7"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBackend(t, streamHead+chunk("id: 1\ndata: a\n\n")+"0\r\n\r\n")
			g, c := newGateOfVersions(t, []string{"v7"}, b)
			if tt.peer {
				c = peerConn(t, g)
			}
			resp, _, err := get(t, c, "/stream/", "")
			if err != nil {
				t.Fatal(err)
			}
			if got := resp.Header.Get(wheelgauge.HeaderStreamVersion); got != tt.want {
				t.Errorf("got version %q, want %q", got, tt.want)
			}
		})
	}
}

// versionedBackends returns backends of the given versions. Each sends one event that names its
// version, with the next ID for each request of the stream, and breaks off.
func versionedBackends(t *testing.T, versions []string) []*backend {
	out := make([]*backend, 0, len(versions))
	for _, version := range versions {
		b := newBackend(t)
		b.fallback = streamHead + chunk("id: 1\ndata: "+version+"\n\n")
		out = append(out, b)
	}
	return out
}

func TestBrokenStreamIsNotResumedAtAnotherVersion(t *testing.T) {
	tests := []struct {
		name     string
		versions []string
		runs     int
	}{
		{"another server of its version", []string{"v1", "v2", "v1", "v2", "v2"}, 2},
		{"no other server of its version", []string{"v1", "v2"}, 1},
		{"one version", []string{"v1", "v1"}, 2},
		{"no versions", []string{"", ""}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, c := newGateOfVersions(t, tt.versions, versionedBackends(t, tt.versions)...)
			_, body, err := get(t, c, "/resume/", "")
			if err == nil {
				t.Error("a stream that broke off looks complete")
			}
			events := strings.Split(strings.TrimSuffix(body, "\n\n"), "\n\n")
			if len(events) != tt.runs {
				t.Errorf("got events of %d servers, want %d: %q", len(events), tt.runs, body)
			}
			for _, event := range events {
				if event != events[0] {
					t.Errorf("got events of two versions: %q", body)
				}
			}
		})
	}
}

const takeUp = "Last-Event-Id: 7\r\nWheelgauge-Resumes: r0\r\n"

func TestStreamTakenUpIsNotContinuedAtAnotherVersion(t *testing.T) {
	of := func(service, version string) *wheelgauge.StreamOrigin {
		return &wheelgauge.StreamOrigin{Service: service, Version: version}
	}
	tests := []struct {
		name    string
		headers string
		known   *wheelgauge.StreamOrigin // of request r0
		sole    *wheelgauge.StreamOrigin
		want    string // version of the events; empty if the request is refused
		reason  wheelgauge.Reason
	}{
		{"known", takeUp, of("s", "v2"), nil, "v2", ""},
		{"known, while others list another version only", takeUp, of("s", "v2"), of("s", "v1"), "v2", ""},
		{"not known", takeUp, nil, nil, "", wheelgauge.ReasonUnknownStream},
		{"not known, and the service has had one version", takeUp, nil, of("s", "v1"), "v1", ""},
		{"the caller does not say what it resumes", "Last-Event-Id: 7\r\n", of("s", "v2"), nil, "", wheelgauge.ReasonUnknownStream},
		{"the caller does not say, and the service has had one version", "Last-Event-Id: 7\r\n", nil, of("s", "v1"), "v1", ""},
		{"no server of the version", takeUp, of("s", "v9"), nil, "", wheelgauge.ReasonOverloaded},
		{"the route has moved to another service", takeUp, of("old", "v1"), nil, "", wheelgauge.ReasonUnknownStream},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			versions := []string{"v1", "v2", "v1"}
			backends := versionedBackends(t, versions)
			for i, b := range backends {
				b.fallback = streamHead + chunk("id: 8\ndata: "+versions[i]+"\n\n") + "0\r\n\r\n"
			}
			g, c := newGateOfVersions(t, versions, backends...)
			origins := &originScript{known: map[wheelgauge.StreamKey]wheelgauge.StreamOrigin{}, sole: tt.sole}
			if tt.known != nil {
				origins.known[wheelgauge.NewStreamKey("r0")] = *tt.known
			}
			g.options.Origins = origins
			resp, body, err := get(t, c, "/resume/", tt.headers)
			if err != nil {
				t.Fatal(err)
			}
			if tt.want != "" {
				if body != "id: 8\ndata: "+tt.want+"\n\n" {
					t.Errorf("got %d %q, want an event of version %s", resp.StatusCode, body, tt.want)
				}
				return
			}
			if resp.StatusCode != http.StatusServiceUnavailable || !strings.Contains(body, string(tt.reason)) || resp.Header.Get("Retry-After") == "" {
				t.Errorf("got %d %s, want 503 with reason %s and Retry-After", resp.StatusCode, body, tt.reason)
			}
			for _, b := range backends {
				if len(b.received()) > 0 {
					t.Error("a server got a request that was refused as not run")
				}
			}
		})
	}
}

// resumeRoutes is a configuration whose route of streams that may be resumed sends to services.
func resumeRoutes(version uint64, services ...string) *routetable.Table {
	set := &wheelgauge.RouteSet{Version: version, Routes: routes(), Services: []wheelgauge.Service{{Name: "s", MaxConns: 100}}}
	for i := range set.Routes {
		if r := &set.Routes[i]; r.Prefix == "/resume/" {
			r.Shares = nil
			for _, s := range services {
				r.Shares = append(r.Shares, wheelgauge.TrafficShare{Service: s, Weight: 1})
			}
		}
	}
	return routetable.New(set)
}

// The only version of the service that a route leads to now was taken for that of a stream which
// another service began.
func TestStreamIsNotContinuedAtTheServiceThatItsRouteMovedTo(t *testing.T) {
	tests := []struct {
		name   string
		before []string // services of the route before
		want   string
	}{
		{"the route stays", []string{"s"}, "id: 8\ndata: v1\n\n"},
		{"the route led to another service", []string{"old"}, ""},
		{"the route led to several services", []string{"s", "old"}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBackend(t)
			b.fallback = streamHead + chunk("id: 8\ndata: v1\n\n") + "0\r\n\r\n"
			g, c := newGateOfVersions(t, []string{"v1"}, b)
			g.options.Origins = &originScript{sole: &wheelgauge.StreamOrigin{Service: "s", Version: "v1"}}
			g.SetTable(resumeRoutes(2, tt.before...))
			g.SetTable(resumeRoutes(3, "s"))
			resp, body, err := get(t, c, "/resume/", takeUp)
			if err != nil {
				t.Fatal(err)
			}
			if tt.want == "" && resp.StatusCode != http.StatusServiceUnavailable || tt.want != "" && body != tt.want {
				t.Errorf("got %d %q, want %q, or 503 if that is empty", resp.StatusCode, body, tt.want)
			}
		})
	}
}

// A host whose lists name one version continued streams although a store knew of several.
func TestStoresOverruleTheListsOfAHost(t *testing.T) {
	tests := []struct {
		name    string
		several bool
		known   time.Duration // for how long the host has known lists and routes
		status  int
	}{
		{"one version for long", false, time.Minute, http.StatusOK},
		{"not known for long", false, 0, http.StatusServiceUnavailable},
		{"a store knows of several", true, time.Minute, http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBackend(t)
			b.fallback = streamHead + chunk("id: 8\ndata: v1\n\n") + "0\r\n\r\n"
			at := time.Now()
			now := func() time.Time { return at }
			g, c := newGateOfVersions(t, nil)
			servers := serverset.New(serverset.Place{Host: "g", Hall: "h", Peers: []string{"g"}}, func(string) *wheelgauge.Service { return &wheelgauge.Service{Name: "s", MaxConns: 100} }, now)
			t.Cleanup(servers.Close)
			servers.Update([]wheelgauge.Server{{Instance: "i0", Service: "s", Version: "v1", Address: b.conn.Addr().String(), Hall: "h", Slots: 4}}, nil, at)
			g.options.Servers, g.routes, g.options.Origins = servers, routehistory.New(now), &originScript{several: tt.several}
			g.SetTable(resumeRoutes(2, "s"))
			for end := at.Add(tt.known); ; at = at.Add(time.Second) {
				servers.ConfirmList(at)
				if !at.Before(end) {
					break
				}
			}
			g.ConfirmConfig()
			if resp, body, err := get(t, c, "/resume/", takeUp); err != nil || resp.StatusCode != tt.status {
				t.Errorf("got %d %q, %v, want %d", resp.StatusCode, body, err, tt.status)
			}
		})
	}
}

func TestRouteImpliesTheServiceThatBeganAStream(t *testing.T) {
	const long = time.Hour
	tests := []struct {
		name   string
		routes [][]string // services, of one configuration after the other
		known  time.Duration
		want   bool
	}{
		{"one service for long", [][]string{{"s"}}, long, true},
		{"one service, not known for long", [][]string{{"s"}}, 0, false},
		{"several services", [][]string{{"s", "s2"}}, long, false},
		{"several services lately", [][]string{{"s", "s2"}, {"s"}}, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, c := newGateOfVersions(t, []string{"v1"}, versionedBackends(t, []string{"v1"})...)
			origins := &originScript{}
			g.options.Origins = origins
			at := time.Now()
			g.routes = routehistory.New(func() time.Time { return at })
			for i, services := range tt.routes {
				g.SetTable(resumeRoutes(uint64(2+i), services...))
			}
			at = at.Add(tt.known)
			g.ConfirmConfig()
			for tries := 0; tries < 100 && len(origins.versions("r1")) == 0; tries++ { // of several services, one has no servers
				_, _, _ = get(t, c, "/resume/", "") // ends as broken
			}
			if origins.implied != tt.want {
				t.Errorf("the route implies the service: %v, want %v", origins.implied, tt.want)
			}
		})
	}
}

func TestHostsShareWhatBeganStreams(t *testing.T) {
	versions := []string{"v1", "v1"}
	backends := versionedBackends(t, versions)
	g, c := newGateOfVersions(t, versions, backends...)
	origins := &originScript{known: map[wheelgauge.StreamKey]wheelgauge.StreamOrigin{wheelgauge.NewStreamKey("r0"): {Service: "s", Version: "v1"}}}
	g.options.Origins = origins
	_, _, _ = get(t, c, "/resume/", takeUp) // ends as broken
	if got := origins.versions("r0", "r1"); got["r0"] != "s v1" || got["r1"] != "s v1" {
		t.Errorf("got %v for a stream taken up, want v1 for the request that began it and for the last one", got)
	}
	origins.recorded = nil
	_, _, _ = get(t, peerConn(t, g), "/resume/", "") // ends as broken
	if got := origins.versions("r1"); len(got) > 0 {
		t.Errorf("a gateway that serves another one has recorded %v, want nothing: it does not know what the caller got", got)
	}
}

func TestForwardedStreamIsNotContinuedAtAnotherVersion(t *testing.T) {
	origin := func(version string) string {
		return "Wheelgauge-Stream-Service: s\r\nWheelgauge-Stream-Version: " + version + "\r\n"
	}
	tests := []struct {
		name, headers, want string
	}{
		{"the forwarding gateway names the version", origin("v2"), "v2"},
		{"no server of the version", origin("v9"), ""},
		{"the forwarding gateway does not name it", "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			versions := []string{"v1", "v2", "v1"}
			g, _ := newGateOfVersions(t, versions, versionedBackends(t, versions)...)
			resp, body, _ := get(t, peerConn(t, g), "/resume/", takeUp+tt.headers) // ends as broken
			if tt.want == "" && resp.StatusCode != http.StatusServiceUnavailable || tt.want != "" && !strings.Contains(body, "data: "+tt.want) {
				t.Errorf("got %d %q, want version %q, or 503 if that is empty", resp.StatusCode, body, tt.want)
			}
		})
	}
}

func TestAnswerOfAnotherGatewayAtAnotherVersionIsNotDelivered(t *testing.T) {
	headers := func(service, version string) string {
		return strings.Replace(streamHead, "\r\n\r\n", "\r\nWheelgauge-Stream-Service: "+service+"\r\nWheelgauge-Stream-Version: "+version+"\r\n\r\n", 1)
	}
	tests := []struct {
		name, head string
		status     int
	}{
		{"the version that began it", headers("s", "v1"), http.StatusOK},
		{"another version", headers("s", "v2"), http.StatusBadGateway},
		{"another service", headers("x", "v1"), http.StatusBadGateway},
		{"a gateway that does not say", streamHead, http.StatusBadGateway},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			peer := newBackend(t)
			peer.fallback = tt.head + chunk("id: 8\ndata: x\n\n") + "0\r\n\r\n"
			versions := []string{"v2"}
			local := versionedBackends(t, versions)
			g, c := newGateOfVersions(t, versions, local...)
			g.options.Origins = &originScript{known: map[wheelgauge.StreamKey]wheelgauge.StreamOrigin{wheelgauge.NewStreamKey("r0"): {Service: "s", Version: "v1"}}}
			g.options.Servers.UpdateRemoteServers("there", []wheelgauge.Server{{Instance: "far", Service: "s", Version: "v1", Region: "there", Address: "127.0.0.1:1"}}, nil)
			g.options.Peers.UpdateHosts([]wheelgauge.FleetHost{{Name: "far", Region: "there", PeerAddress: peer.conn.Addr().String(), Ready: true}}, nil)
			g.options.Peers.SetLoads([]wheelgauge.RegionUsage{{Region: "there", Services: []wheelgauge.ServiceUsage{{Service: "s", Servers: 1, Slots: 4}}}})
			resp, body, err := get(t, c, "/resume/", takeUp)
			if err != nil || resp.StatusCode != tt.status {
				t.Errorf("got %v %q, %v, want %d", resp, body, err, tt.status)
			}
			if got := peer.received()[0]; got.Get(wheelgauge.HeaderStreamVersion) != "v1" || got.Get(wheelgauge.HeaderStreamService) != "s" {
				t.Errorf("the other gateway was sent %v, want what began the stream", got)
			}
			if len(local[0].received()) > 0 {
				t.Error("a server of another version got the request")
			}
		})
	}
}

func TestCallersCannotNameTheOriginOfAStream(t *testing.T) {
	b := newBackend(t)
	_, c := newGateOfVersions(t, []string{"v1"}, b)
	if _, _, err := get(t, c, "/safe/", "Wheelgauge-Stream-Service: s\r\nWheelgauge-Stream-Version: v2\r\n"); err != nil {
		t.Fatal(err)
	}
	if h := b.received()[0]; slices.ContainsFunc([]string{wheelgauge.HeaderStreamService, wheelgauge.HeaderStreamVersion}, func(n string) bool { return h.Get(n) != "" }) {
		t.Errorf("the server got %v", h)
	}
}
