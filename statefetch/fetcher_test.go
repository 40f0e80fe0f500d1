package statefetch

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/httpserve"
	"wheelgauge/peerhttp"
	"wheelgauge/statefeed"
)

const testLimit = 20 * time.Second

// standIn is a stand-in of a store that may stop answering.
type standIn struct {
	mu    sync.Mutex
	state wheelgauge.FleetState
	feed  *statefeed.Feed
	// parts is how many parts it answers before it fails; fewer than 0: all.
	parts int
	// harm changes a part before it leaves.
	harm  func(p *wheelgauge.StatePart)
	asked []wheelgauge.StateRequest
	http  *httpserve.Server
}

func newStandIn(t *testing.T, state wheelgauge.FleetState) *standIn {
	t.Helper()
	s := &standIn{state: state, parts: -1}
	s.feed = statefeed.New(func() wheelgauge.FleetState { return s.state })
	var err error
	if s.http, err = httpserve.Listen("127.0.0.1:0", s.serve, httpserve.Options{}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testLimit)
		defer cancel()
		_ = s.http.Close(ctx)
	})
	return s
}

func (s *standIn) serve(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, err := peerhttp.Decode[wheelgauge.StateRequest](ctx)
	if err != nil || s.parts == 0 {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	s.parts--
	s.asked = append(s.asked, r)
	p, err := s.feed.Part(r)
	if err != nil {
		peerhttp.AnswerError(ctx, err)
		return
	}
	if s.harm != nil {
		s.harm(&p)
	}
	peerhttp.Answer(ctx, p)
}

// body is one that does not get smaller when compressed.
func body(seed uint64, size int) []byte {
	r := rand.New(rand.NewPCG(seed, seed))
	out := make([]byte, size)
	for i := range out {
		out[i] = byte(r.Uint32())
	}
	return out
}

func state(generation, version uint64, size int) wheelgauge.FleetState {
	return wheelgauge.FleetState{Generation: generation, Version: version, Body: body(version, size), Drained: []string{"n"}}
}

func addresses(stores []*standIn) []string {
	var out []string
	for _, s := range stores {
		out = append(out, s.http.Address())
	}
	return out
}

func TestFetch(t *testing.T) {
	const size = 5 * largestPart
	newest := state(4, 7, size)
	held := wheelgauge.FleetState{Generation: 3, Version: 6}
	tests := []struct {
		name   string
		held   wheelgauge.FleetState
		stores func(t *testing.T) []*standIn
		want   wheelgauge.FleetState
		bad    bool
	}{
		{"part by part", held, func(t *testing.T) []*standIn { return []*standIn{newStandIn(t, newest)} }, newest, false},
		{"the body held is not sent again", wheelgauge.FleetState{Generation: 3, Version: 7}, func(t *testing.T) []*standIn {
			return []*standIn{newStandIn(t, newest)}
		}, wheelgauge.FleetState{Generation: 4, Version: 7, Drained: []string{"n"}}, false},
		{"a store fails: the rest comes from another", held, func(t *testing.T) []*standIn {
			first := newStandIn(t, newest)
			first.parts = 2
			return []*standIn{first, newStandIn(t, newest)}
		}, newest, false},
		{"the other store has another body", held, func(t *testing.T) []*standIn {
			first := newStandIn(t, state(5, 8, size))
			first.parts = 2
			return []*standIn{first, newStandIn(t, newest)}
		}, newest, false},
		{"a store without a newer state", held, func(t *testing.T) []*standIn {
			return []*standIn{newStandIn(t, state(3, 6, size)), newStandIn(t, newest)}
		}, newest, false},
		{"a part that does not follow", held, func(t *testing.T) []*standIn {
			first := newStandIn(t, newest)
			first.harm = func(p *wheelgauge.StatePart) { p.Offset++ }
			return []*standIn{first, newStandIn(t, newest)}
		}, newest, false},
		{"a part without bytes", held, func(t *testing.T) []*standIn {
			first := newStandIn(t, newest)
			first.harm = func(p *wheelgauge.StatePart) { p.Data = nil }
			return []*standIn{first}
		}, wheelgauge.FleetState{}, true},
		{"a damaged body", held, func(t *testing.T) []*standIn {
			first := newStandIn(t, newest)
			first.harm = func(p *wheelgauge.StatePart) { p.Data = slices.Repeat([]byte{7}, len(p.Data)) }
			return []*standIn{first}
		}, wheelgauge.FleetState{}, true},
		{"nobody answers", held, func(t *testing.T) []*standIn {
			first := newStandIn(t, newest)
			first.parts = 0
			return []*standIn{first}
		}, wheelgauge.FleetState{}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := New(peerhttp.NewClient(nil, ""))
			got, err := f.Fetch(context.Background(), addresses(tt.stores(t)), tt.held)
			if (err != nil) != tt.bad {
				t.Fatalf("error %v, want one: %t", err, tt.bad)
			}
			if got.Generation != tt.want.Generation || got.Version != tt.want.Version || !slices.Equal(got.Body, tt.want.Body) || !slices.Equal(got.Drained, tt.want.Drained) {
				t.Errorf("got generation %d, version %d, %d bytes, drained %v", got.Generation, got.Version, len(got.Body), got.Drained)
			}
		})
	}
}

// A transfer that was cut goes on where it stood, in smaller parts.
func TestFetchGoesOn(t *testing.T) {
	s := newStandIn(t, state(4, 7, 6*largestPart))
	s.parts = 2
	f := New(peerhttp.NewClient(nil, ""))
	if _, err := f.Fetch(context.Background(), addresses([]*standIn{s}), wheelgauge.FleetState{}); err == nil {
		t.Fatal("no error though the store failed")
	}
	s.parts = -1
	if _, err := f.Fetch(context.Background(), addresses([]*standIn{s}), wheelgauge.FleetState{}); err != nil {
		t.Fatal(err)
	}
	next := s.asked[2]
	if next.Offset != 2*largestPart || next.Most != largestPart/2 {
		t.Errorf("went on at %d, for %d bytes, want %d, %d", next.Offset, next.Most, 2*largestPart, largestPart/2)
	}
}

// Changes that come faster than a state is fetched do not keep it from coming.
func TestFetchDuringChanges(t *testing.T) {
	s := newStandIn(t, state(1, 1, 4*largestPart))
	s.harm = func(*wheelgauge.StatePart) {
		if s.state.Generation < 4 {
			s.state = state(s.state.Generation+1, s.state.Version+1, 4*largestPart)
		}
	}
	f := New(peerhttp.NewClient(nil, ""))
	held := wheelgauge.FleetState{}
	for range 2 {
		got, err := f.Fetch(context.Background(), addresses([]*standIn{s}), held)
		if err != nil {
			t.Fatal(err)
		}
		if got.Generation <= held.Generation || !slices.Equal(got.Body, body(got.Version, 4*largestPart)) {
			t.Errorf("generation %d, version %d after generation %d, or another body", got.Generation, got.Version, held.Generation)
		}
		held = got
	}
	if held.Generation != 4 {
		t.Errorf("generation %d, want 4", held.Generation)
	}
}

func TestFetchIsCancelled(t *testing.T) {
	s := newStandIn(t, state(4, 7, 10))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := New(peerhttp.NewClient(nil, "")).Fetch(ctx, addresses([]*standIn{s}), wheelgauge.FleetState{})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
}
