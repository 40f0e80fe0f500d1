package lookupclient

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"

	"wheelgauge"
	"wheelgauge/fake/manualclock"
)

var routes = wheelgauge.RouteQuery{LookupRequest: wheelgauge.LookupRequest{HostName: "h", Version: 5}}

// script answers lookups and counts them by store.
type script struct {
	mu      sync.Mutex
	answers map[string]wheelgauge.LookupResponse
	asked   map[string]int
}

func (s *script) request(_ context.Context, address string, _ wheelgauge.LookupRequest) (wheelgauge.LookupResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked[address]++
	if a, ok := s.answers[address]; ok {
		return a, nil
	}
	return wheelgauge.LookupResponse{}, errors.New("no answer")
}

func newClient(answers map[string]wheelgauge.LookupResponse) (*Client, *script, *manualclock.Clock) {
	s, clock := &script{answers: answers, asked: map[string]int{}}, manualclock.New()
	return New(Options{
		Stores: func() []wheelgauge.StoreEndpoint {
			return []wheelgauge.StoreEndpoint{{Address: "a", SameRegion: true}, {Address: "b"}, {Address: "c"}}
		},
		Request: s.request, Now: clock.Now,
	}), s, clock
}

func TestStoreThatKnowsBetter(t *testing.T) {
	newer, older := wheelgauge.LookupResponse{Version: 9}, wheelgauge.LookupResponse{Version: 3}
	tests := []struct {
		name    string
		answers map[string]wheelgauge.LookupResponse
		ok      bool
		asked   int
	}{
		{"the first", map[string]wheelgauge.LookupResponse{"a": newer, "b": newer}, true, 1},
		{"the first is silent", map[string]wheelgauge.LookupResponse{"b": newer}, true, 2},
		{"the first has an older version", map[string]wheelgauge.LookupResponse{"a": older, "b": newer}, true, 2},
		{"none", map[string]wheelgauge.LookupResponse{"a": older, "b": older}, false, 2},
		{"only the third, which is not asked", map[string]wheelgauge.LookupResponse{"c": newer}, false, 2},
	}
	for _, tt := range tests {
		c, s, _ := newClient(tt.answers)
		resp, ok := c.Routes(context.Background(), routes)
		if asked := s.asked["a"] + s.asked["b"] + s.asked["c"]; ok != tt.ok || ok && resp.Version != 9 || asked != tt.asked {
			t.Errorf("%s: got version %d, %v after %d calls, want an answer: %v after %d", tt.name, resp.Version, ok, asked, tt.ok, tt.asked)
		}
	}
}

// One answer serves all requests for a time; while no store answers, requests are not held up.
func TestAnswersAreShared(t *testing.T) {
	c, s, clock := newClient(map[string]wheelgauge.LookupResponse{"a": {Version: 9}})
	for range 5 {
		c.Routes(context.Background(), routes)
	}
	if s.asked["a"] != 1 {
		t.Errorf("a store was asked %d times by five requests at once, want once", s.asked["a"])
	}
	clock.Advance(cachedTTL)
	if c.Routes(context.Background(), routes); s.asked["a"] != 2 {
		t.Errorf("a store was asked %d times after the answer has expired, want twice", s.asked["a"])
	}
	delete(s.answers, "a")
	clock.Advance(cachedTTL)
	for range 5 {
		if _, ok := c.Routes(context.Background(), routes); ok {
			t.Error("got an answer of silent stores")
		}
		clock.Advance(silentPause / 10)
	}
	if s.asked["b"] != 1 {
		t.Errorf("silent stores were asked %d times, want once", s.asked["b"])
	}
	clock.Advance(silentPause)
	if c.Routes(context.Background(), routes); s.asked["b"] != 2 {
		t.Errorf("silent stores were asked %d times after the pause, want twice", s.asked["b"])
	}
}

func TestGone(t *testing.T) {
	tests := []struct {
		name   string
		answer wheelgauge.LookupResponse
		want   bool
	}{
		{"listed", wheelgauge.LookupResponse{Listed: true, ListAgeMS: 100}, false},
		{"off the list, or leaving", wheelgauge.LookupResponse{ListAgeMS: 100}, true},
		{"off a list that is older than the host's", wheelgauge.LookupResponse{ListAgeMS: 5000}, false},
		{"no list", wheelgauge.LookupResponse{ListAgeMS: -1}, false},
	}
	for _, tt := range tests {
		c, _, _ := newClient(map[string]wheelgauge.LookupResponse{"a": tt.answer, "b": tt.answer})
		if got := c.Gone(context.Background(), "i", 4000); got != tt.want {
			t.Errorf("%s: the server counts as gone: %v, want %v", tt.name, got, tt.want)
		}
	}
}

// A lookup without which nothing may be served reaches the only store that knows better, even if
// others are silent, lag, or are cut off.
func TestRequiredLookupAsksAllStores(t *testing.T) {
	newer, older := wheelgauge.LookupResponse{Version: 9}, wheelgauge.LookupResponse{Version: 3}
	tests := []struct {
		name    string
		answers map[string]wheelgauge.LookupResponse
		store   string
	}{
		{"only the third", map[string]wheelgauge.LookupResponse{"c": newer}, "c"},
		{"others lag", map[string]wheelgauge.LookupResponse{"a": older, "b": older, "c": newer}, "c"},
		{"all lag", map[string]wheelgauge.LookupResponse{"a": older, "b": older, "c": older}, ""},
		{"none answers", nil, ""},
	}
	for _, tt := range tests {
		c, s, _ := newClient(tt.answers)
		q := routes
		q.Required = true
		resp, ok := c.Routes(context.Background(), q)
		if resp.Store != tt.store || ok != (tt.store != "") {
			t.Errorf("%s: got an answer of store %q, %v, want %q", tt.name, resp.Store, ok, tt.store)
		}
		s.mu.Lock()
		if !ok && (s.asked["a"] != 1 || s.asked["b"] != 1 || s.asked["c"] != 1) {
			t.Errorf("%s: asked %v, want each store once", tt.name, s.asked)
		}
		s.mu.Unlock()
	}
}

// The whole configuration is fetched from the store that told of it, and what it brings is there
// when the answer is.
func TestWholeConfigurationIsFetchedFromTheStoreThatTells(t *testing.T) {
	for _, tt := range []struct {
		name    string
		answers map[string]wheelgauge.LookupResponse
		want    []string
	}{
		{"the second store tells", map[string]wheelgauge.LookupResponse{"a": {Version: 3}, "b": {Version: 9}}, []string{"b"}},
		{"none tells", map[string]wheelgauge.LookupResponse{"a": {Version: 3}}, nil},
	} {
		c, _, _ := newClient(tt.answers)
		var fetched []string
		c.options.Fetch = func(_ context.Context, address string) { fetched = append(fetched, address) }
		for range 3 {
			c.Routes(context.Background(), routes)
		}
		if !slices.Equal(fetched, tt.want) {
			t.Errorf("%s: fetched from %v, want %v", tt.name, fetched, tt.want)
		}
	}
}

// A store that is cut off from the others is asked after those that are not.
func TestConnectedStoresAreAskedFirst(t *testing.T) {
	c, s, _ := newClient(map[string]wheelgauge.LookupResponse{"a": {Version: 3}, "b": {Version: 3}, "c": {Version: 9}})
	stores := c.options.Stores()
	stores[2].Connected = true
	c.options.Stores = func() []wheelgauge.StoreEndpoint { return stores }
	if resp, ok := c.Routes(context.Background(), routes); !ok || resp.Store != "c" || s.asked["a"] > 0 {
		t.Errorf("got the answer of store %q, %v, after asking %v", resp.Store, ok, s.asked)
	}
}
