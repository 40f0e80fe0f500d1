package confstore

import (
	"encoding/json"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/configstate"
	"wheelgauge/routehistory"
	"wheelgauge/serverlist"
	"wheelgauge/streamorigin"
	"wheelgauge/versionhistory"
)

// streamStore is a store that hosts ask what began streams, at a time of its own.
type streamStore struct {
	*Node
	t       *testing.T
	at      time.Time
	version uint64
}

func newStreamStore(t *testing.T) *streamStore {
	s := &streamStore{t: t, at: time.Unix(1000, 0)}
	now := func() time.Time { return s.at }
	s.Node = newFeedNode(s.at)
	s.o.Clock = s
	s.o.RegionByHall = map[string]string{"n": "north", "s": "south"}
	s.servers, s.streams, s.versions, s.config.history = serverlist.New(now), streamorigin.New(100, now), versionhistory.New(now), routehistory.New(now)
	return s
}

// Now implements wheelgauge.Clock.
func (s *streamStore) Now() time.Time { return s.at }

// list sets the versions of the service that a region lists now.
func (s *streamStore) list(region string, versions ...string) {
	s.t.Helper()
	list := []wheelgauge.Server{{Instance: "x-" + region, Service: "x", Version: "v1", Region: region}}
	for _, version := range versions {
		list = append(list, wheelgauge.Server{Instance: version + region, Service: "s", Version: version, Region: region})
	}
	readList(s.t, s.Node, region, s.at, list)
	s.updateStreams(s.t.Context())
}

// put applies a configuration whose route leads to services.
func (s *streamStore) put(services ...string) {
	s.t.Helper()
	s.version++
	route := wheelgauge.PathRoute{Name: "r", Host: "h", Prefix: "/", Kind: wheelgauge.RouteStream, Resumable: true, Timeout: 3 * time.Second, LatencyObjective: time.Second, MaxAttempts: 1}
	set := wheelgauge.RouteSet{Version: s.version, Services: []wheelgauge.Service{{Name: "s", MaxConns: 1}, {Name: "x", MaxConns: 1}}}
	for _, service := range services {
		route.Shares = append(route.Shares, wheelgauge.TrafficShare{Service: service, Weight: 1})
	}
	set.Routes = append(set.Routes, route)
	body, err := json.Marshal(set)
	if err != nil {
		s.t.Fatal(err)
	}
	apply(s.t, s.Node, configstate.Command{Op: configstate.OpPut, Version: s.version, Body: body})
	s.followConfig(s.t.Context())
}

// pass lets time pass in which the lists stay as they are.
func (s *streamStore) pass(d time.Duration, versions ...string) {
	for end := s.at.Add(d); s.at.Before(end); {
		s.at = s.at.Add(500 * time.Millisecond)
		s.list("north", versions...)
		s.list("south", versions...)
	}
}

// A store must not name a version while another one may have begun the stream.
func TestStoreNamesASoleVersionOnlyIfNoOtherCanHaveBegunTheStream(t *testing.T) {
	const (
		period            = 3*time.Second + 10*time.Second // the route's timeout and the time to return
		several, outdated = "several", "outdated"
	)
	tests := []struct {
		name  string
		steps func(s *streamStore)
		want  string
		// why is what the store says instead: that there may be several, that its lists are
		// outdated, or nothing.
		why string
	}{
		{"one version for long", func(s *streamStore) { s.put("s"); s.pass(time.Minute, "v1") }, "v1", ""},
		{"started lately", func(s *streamStore) { s.put("s"); s.pass(period, "v1") }, "", ""},
		{"two versions", func(s *streamStore) { s.put("s"); s.pass(time.Minute, "v1", "v2") }, "", several},
		{"the other version has just left", func(s *streamStore) { s.put("s"); s.pass(time.Minute, "v1", "v2"); s.pass(period, "v2") }, "", several},
		{"the other version left long ago", func(s *streamStore) { s.put("s"); s.pass(time.Minute, "v1", "v2"); s.pass(time.Minute, "v2") }, "v2", ""},
		{"a version has come back", func(s *streamStore) {
			s.put("s")
			s.pass(time.Minute, "v1")
			s.pass(time.Second, "v2")
			s.pass(period, "v1")
		}, "", several},
		{"another version in one region", func(s *streamStore) { s.put("s"); s.pass(time.Minute, "v1"); s.list("south", "v2") }, "", several},
		{"the lists are old", func(s *streamStore) { s.put("s"); s.pass(time.Minute, "v1"); s.at = s.at.Add(maxVersionsListAge + 1) }, "", outdated},
		{"the list of one region is old", func(s *streamStore) {
			s.put("s")
			s.pass(time.Minute, "v1")
			s.at = s.at.Add(maxVersionsListAge + 1)
			s.list("north", "v1")
		}, "", outdated},
		{"the lists were not read for a while", func(s *streamStore) {
			s.put("s")
			s.pass(time.Minute, "v1")
			s.at = s.at.Add(time.Minute)
			s.updateStreams(s.t.Context())
			s.pass(period, "v1")
		}, "", ""},
		{"the store was suspended for a while", func(s *streamStore) {
			s.put("s")
			s.pass(time.Minute, "v1")
			s.at = s.at.Add(time.Minute)
			s.pass(period, "v1")
		}, "", ""},
		{"the route has just moved", func(s *streamStore) { s.put("x"); s.pass(time.Minute, "v1"); s.put("s"); s.pass(period/2, "v1") }, "", several},
		{"the route moved long ago", func(s *streamStore) { s.put("x"); s.pass(time.Minute, "v1"); s.put("s"); s.pass(time.Minute, "v1") }, "v1", ""},
		{"the route led to two services", func(s *streamStore) {
			s.put("s", "x")
			s.pass(time.Minute, "v1")
			s.put("s")
			s.pass(period/2, "v1")
		}, "", several},
		{"the route has moved away", func(s *streamStore) { s.put("s"); s.pass(time.Minute, "v1"); s.put("x"); s.pass(time.Minute, "v1") }, "", several},
		{"no configuration", func(s *streamStore) { s.pass(time.Minute, "v1") }, "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newStreamStore(t)
			tt.steps(s)
			q := wheelgauge.StreamQuery{Service: "s", WithinMS: period.Milliseconds(), Host: "h", Path: "/a", ReturnMS: (10 * time.Second).Milliseconds()}
			got := ""
			resp := s.exchangeStreams(wheelgauge.StreamOriginsRequest{Query: &q})
			if resp.Sole != nil {
				got = *resp.Sole
			}
			if got != tt.want {
				t.Errorf("got version %q, want %q", got, tt.want)
			}
			why := map[[2]bool]string{{true, false}: several, {false, true}: outdated}[[2]bool{resp.Several, resp.Outdated}]
			if why != tt.why {
				t.Errorf("got %+v, want %q", resp, tt.why)
			}
		})
	}
}
