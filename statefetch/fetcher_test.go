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

const testTimeout = 20 * time.Second

// fakeStore is a store that can be made to fail.
type fakeStore struct {
	mu    sync.Mutex
	state wheelgauge.FleetState
	feed  *statefeed.Feed
	// remaining is how many chunks it serves before it fails; all if negative.
	remaining int
	// corrupt changes a chunk before it is sent.
	corrupt  func(p *wheelgauge.StatePart)
	requests []wheelgauge.StateRequest
	http     *httpserve.Server
}

func newFakeStore(t *testing.T, state wheelgauge.FleetState) *fakeStore {
	t.Helper()
	s := &fakeStore{state: state, remaining: -1}
	s.feed = statefeed.New(func() wheelgauge.FleetState { return s.state })
	var err error
	if s.http, err = httpserve.Listen("127.0.0.1:0", s.serve, httpserve.Options{}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		_ = s.http.Close(ctx)
	})
	return s
}

func (s *fakeStore) serve(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, err := peerhttp.Decode[wheelgauge.StateRequest](ctx)
	if err != nil || s.remaining == 0 {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	s.remaining--
	s.requests = append(s.requests, r)
	p, err := s.feed.Part(r)
	if err != nil {
		peerhttp.AnswerError(ctx, err)
		return
	}
	if s.corrupt != nil {
		s.corrupt(&p)
	}
	peerhttp.Answer(ctx, p)
}

// body returns random bytes, which compression does not shrink.
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

func addresses(stores []*fakeStore) []string {
	var out []string
	for _, s := range stores {
		out = append(out, s.http.Address())
	}
	return out
}

func TestFetch(t *testing.T) {
	const size = 5 * maxChunkBytes
	newest := state(4, 7, size)
	held := wheelgauge.FleetState{Generation: 3, Version: 6}
	tests := []struct {
		name   string
		held   wheelgauge.FleetState
		stores func(t *testing.T) []*fakeStore
		want   wheelgauge.FleetState
		bad    bool
	}{
		{"part by part", held, func(t *testing.T) []*fakeStore { return []*fakeStore{newFakeStore(t, newest)} }, newest, false},
		{"the body held is not sent again", wheelgauge.FleetState{Generation: 3, Version: 7}, func(t *testing.T) []*fakeStore {
			return []*fakeStore{newFakeStore(t, newest)}
		}, wheelgauge.FleetState{Generation: 4, Version: 7, Drained: []string{"n"}}, false},
		{"a store fails: the rest comes from another", held, func(t *testing.T) []*fakeStore {
			first := newFakeStore(t, newest)
			first.remaining = 2
			return []*fakeStore{first, newFakeStore(t, newest)}
		}, newest, false},
		{"the other store has another body", held, func(t *testing.T) []*fakeStore {
			first := newFakeStore(t, state(5, 8, size))
			first.remaining = 2
			return []*fakeStore{first, newFakeStore(t, newest)}
		}, newest, false},
		{"a store without a newer state", held, func(t *testing.T) []*fakeStore {
			return []*fakeStore{newFakeStore(t, state(3, 6, size)), newFakeStore(t, newest)}
		}, newest, false},
		{"a part that does not follow", held, func(t *testing.T) []*fakeStore {
			first := newFakeStore(t, newest)
			first.corrupt = func(p *wheelgauge.StatePart) { p.Offset++ }
			return []*fakeStore{first, newFakeStore(t, newest)}
		}, newest, false},
		{"a part without bytes", held, func(t *testing.T) []*fakeStore {
			first := newFakeStore(t, newest)
			first.corrupt = func(p *wheelgauge.StatePart) { p.Data = nil }
			return []*fakeStore{first}
		}, wheelgauge.FleetState{}, true},
		{"a damaged body", held, func(t *testing.T) []*fakeStore {
			first := newFakeStore(t, newest)
			first.corrupt = func(p *wheelgauge.StatePart) { p.Data = slices.Repeat([]byte{7}, len(p.Data)) }
			return []*fakeStore{first}
		}, wheelgauge.FleetState{}, true},
		{"nobody answers", held, func(t *testing.T) []*fakeStore {
			first := newFakeStore(t, newest)
			first.remaining = 0
			return []*fakeStore{first}
		}, wheelgauge.FleetState{}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := New(peerhttp.NewClient(nil, ""))
			got, err := f.Fetch(context.Background(), addresses(tt.stores(t)), tt.held)
			if (err != nil) != tt.bad {
				t.Fatalf("got error %v, want an error: %t", err, tt.bad)
			}
			if got.Generation != tt.want.Generation || got.Version != tt.want.Version || !slices.Equal(got.Body, tt.want.Body) || !slices.Equal(got.Drained, tt.want.Drained) {
				t.Errorf("got generation %d, version %d, %d bytes, drained %v", got.Generation, got.Version, len(got.Body), got.Drained)
			}
		})
	}
}

// An interrupted transfer resumes at the last offset, in smaller chunks.
func TestFetchResumes(t *testing.T) {
	s := newFakeStore(t, state(4, 7, 6*maxChunkBytes))
	s.remaining = 2
	f := New(peerhttp.NewClient(nil, ""))
	if _, err := f.Fetch(context.Background(), addresses([]*fakeStore{s}), wheelgauge.FleetState{}); err == nil {
		t.Fatal("got no error from a failing store")
	}
	s.remaining = -1
	if _, err := f.Fetch(context.Background(), addresses([]*fakeStore{s}), wheelgauge.FleetState{}); err != nil {
		t.Fatal(err)
	}
	next := s.requests[2]
	if next.Offset != 2*maxChunkBytes || next.Most != maxChunkBytes/2 {
		t.Errorf("resumed at offset %d for %d bytes, want %d, %d", next.Offset, next.Most, 2*maxChunkBytes, maxChunkBytes/2)
	}
}

// A transfer completes although the state changes faster than it is transferred.
func TestFetchDuringChanges(t *testing.T) {
	s := newFakeStore(t, state(1, 1, 4*maxChunkBytes))
	s.corrupt = func(*wheelgauge.StatePart) {
		if s.state.Generation < 4 {
			s.state = state(s.state.Generation+1, s.state.Version+1, 4*maxChunkBytes)
		}
	}
	f := New(peerhttp.NewClient(nil, ""))
	held := wheelgauge.FleetState{}
	for range 2 {
		got, err := f.Fetch(context.Background(), addresses([]*fakeStore{s}), held)
		if err != nil {
			t.Fatal(err)
		}
		if got.Generation <= held.Generation || !slices.Equal(got.Body, body(got.Version, 4*maxChunkBytes)) {
			t.Errorf("got generation %d, version %d after generation %d, or the wrong body", got.Generation, got.Version, held.Generation)
		}
		held = got
	}
	if held.Generation != 4 {
		t.Errorf("got generation %d, want 4", held.Generation)
	}
}

func TestFetchCancelled(t *testing.T) {
	s := newFakeStore(t, state(4, 7, 10))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := New(peerhttp.NewClient(nil, "")).Fetch(ctx, addresses([]*fakeStore{s}), wheelgauge.FleetState{})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v, want context canceled", err)
	}
}
