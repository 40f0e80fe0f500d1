package lookupclient

import (
	"context"
	"errors"
	"sync"
	"testing"

	"wheelgauge"
	"wheelgauge/fake/manualclock"
)

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
		resp, ok := c.Routes(context.Background(), "h", 5)
		if asked := s.asked["a"] + s.asked["b"] + s.asked["c"]; ok != tt.ok || ok && resp.Version != 9 || asked != tt.asked {
			t.Errorf("%s: got version %d, %v after %d calls, want an answer: %v after %d", tt.name, resp.Version, ok, asked, tt.ok, tt.asked)
		}
	}
}

// One answer serves all requests for a time; while no store answers, requests are not held up.
func TestAnswersAreShared(t *testing.T) {
	c, s, clock := newClient(map[string]wheelgauge.LookupResponse{"a": {Version: 9}})
	for range 5 {
		c.Routes(context.Background(), "h", 5)
	}
	if s.asked["a"] != 1 {
		t.Errorf("a store was asked %d times by five requests at once, want once", s.asked["a"])
	}
	clock.Advance(cachedTTL)
	if c.Routes(context.Background(), "h", 5); s.asked["a"] != 2 {
		t.Errorf("a store was asked %d times after the answer has expired, want twice", s.asked["a"])
	}
	delete(s.answers, "a")
	clock.Advance(cachedTTL)
	for range 5 {
		if _, ok := c.Routes(context.Background(), "h", 5); ok {
			t.Error("got an answer of silent stores")
		}
		clock.Advance(silentPause / 10)
	}
	if s.asked["b"] != 1 {
		t.Errorf("silent stores were asked %d times, want once", s.asked["b"])
	}
	clock.Advance(silentPause)
	if c.Routes(context.Background(), "h", 5); s.asked["b"] != 2 {
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
