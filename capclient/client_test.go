package capclient

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"wheelgauge"
)

var testWorkspace = &wheelgauge.Workspace{Name: "w", Cap: wheelgauge.Cap{Rate: 1e6, Burst: 1e6, Unit: wheelgauge.CapTokens}}

// A region whose own stores are unreachable prefetches units from far ones, so that few
// requests wait for the round trip. Without prefetching all of them wait for 110 ms, and
// bursts for twice that.
func TestPrefetchFromFarStore(t *testing.T) {
	const roundTrip = 110 * time.Millisecond
	tests := []struct {
		name string
		near bool
		// waits is the most of 200 requests that wait for the round trip.
		waits int
	}{{"far", false, 40}, {"near", true, 200}}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			var mu sync.Mutex
			given := 0.0
			client := New(Options{
				Host: "h", Boot: 1, Now: time.Now,
				Stores: func() []wheelgauge.StoreEndpoint {
					return []wheelgauge.StoreEndpoint{{Address: "s", SameRegion: tt.near}}
				},
				Draw: func(_ context.Context, _ string, req wheelgauge.CapUnitsRequest) (wheelgauge.CapUnitsResponse, error) {
					time.Sleep(roundTrip)
					mu.Lock()
					defer mu.Unlock()
					given += req.Items[0].Units + req.Items[0].Prefetch
					return wheelgauge.CapUnitsResponse{Grants: []wheelgauge.CapGrant{{Granted: true, Prefetched: req.Items[0].Prefetch}}}, nil
				},
			})
			waits, used := 0, 0.0
			for range 200 {
				start := time.Now()
				if err := client.Acquire(context.Background(), testWorkspace, 3000); err != nil {
					t.Fatal(err)
				}
				used += 3000
				if time.Since(start) >= roundTrip {
					waits++
				}
				time.Sleep(50 * time.Millisecond)
			}
			client.Close()
			if waits > tt.waits {
				t.Errorf("%s: %d of 200 requests waited for a round trip, want fewer", tt.name, waits)
			}
			if tt.near && given != used {
				t.Errorf("near: %.0f units drawn for %.0f units used", given, used)
			}
			if given > 1.5*used {
				t.Errorf("%s: %.0f units drawn for %.0f units used", tt.name, given, used)
			}
		})
	}
}

func TestTake(t *testing.T) {
	granted := wheelgauge.CapGrant{Granted: true, StandaloneRate: 1e6, StandaloneMS: 1000}
	refusal := wheelgauge.CapGrant{RetryAfterMS: 700, StandaloneRate: 1e6, StandaloneMS: 1000}
	tests := []struct {
		name string
		// grants by store; other stores do not answer.
		grants map[string]wheelgauge.CapGrant
		stores []wheelgauge.StoreEndpoint
		status int
		after  time.Duration
		calls  int
	}{
		{"granted", map[string]wheelgauge.CapGrant{"a": granted}, []wheelgauge.StoreEndpoint{{Address: "a", SameRegion: true}}, 0, 0, 1},
		{"refused", map[string]wheelgauge.CapGrant{"a": refusal}, []wheelgauge.StoreEndpoint{{Address: "a", SameRegion: true}}, 429, 700 * time.Millisecond, 1},
		{"the first store does not answer", map[string]wheelgauge.CapGrant{"b": granted}, []wheelgauge.StoreEndpoint{{Address: "a", SameRegion: true}, {Address: "b"}}, 0, 0, 2},
		{"another store has the units", map[string]wheelgauge.CapGrant{"a": {RetryAfterMS: 700, OtherStore: "b"}, "b": granted}, []wheelgauge.StoreEndpoint{{Address: "a", SameRegion: true}}, 0, 0, 2},
		{"no other store has the units", map[string]wheelgauge.CapGrant{"a": {RetryAfterMS: 700, OtherStore: "b"}, "b": {RetryAfterMS: 900}}, []wheelgauge.StoreEndpoint{{Address: "a", SameRegion: true}}, 429, 900 * time.Millisecond, 2},
		{"the other store does not answer", map[string]wheelgauge.CapGrant{"a": {RetryAfterMS: 700, OtherStore: "b"}}, []wheelgauge.StoreEndpoint{{Address: "a", SameRegion: true}}, 429, 700 * time.Millisecond, 2},
		{"no store answers, and none ever did", nil, []wheelgauge.StoreEndpoint{{Address: "a", SameRegion: true}}, 503, noStoreRetryAfter, 1},
		{"no store is known", nil, nil, 503, noStoreRetryAfter, 0},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			calls := 0
			client := New(Options{
				Host: "h", Boot: 1, Now: time.Now, Stores: func() []wheelgauge.StoreEndpoint { return tt.stores },
				Draw: func(ctx context.Context, address string, _ wheelgauge.CapUnitsRequest) (wheelgauge.CapUnitsResponse, error) {
					calls++
					if g, ok := tt.grants[address]; ok {
						return wheelgauge.CapUnitsResponse{Grants: []wheelgauge.CapGrant{g}}, nil
					}
					<-ctx.Done()
					return wheelgauge.CapUnitsResponse{}, errors.New("unreachable")
				},
			})
			defer client.Close()
			err := client.Acquire(context.Background(), testWorkspace, 100)
			status, after := 0, time.Duration(0)
			if err != nil {
				status, after = err.Status(), err.RetryAfter()
			}
			if status != tt.status || after != tt.after || calls != tt.calls {
				t.Errorf("%s: status %d, retry after %v, %d draws", tt.name, status, after, calls)
			}
			if err != nil && err.Outcome() != wheelgauge.OutcomeNotRun {
				t.Errorf("%s: outcome %s", tt.name, err.Outcome())
			}
		})
	}
}

// A store counts as silent for all requests of the host when it does not answer within the
// timeout of a draw, but not when the deadline of the request that drew passed earlier.
func TestSilentStore(t *testing.T) {
	tests := []struct {
		name   string
		within time.Duration
		calls  int
	}{
		{"the request's deadline passes first", 20 * time.Millisecond, 2},
		{"the store does not answer", time.Second, 1},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			calls := 0
			client := New(Options{
				Host: "h", Boot: 1, Now: time.Now,
				Stores: func() []wheelgauge.StoreEndpoint { return []wheelgauge.StoreEndpoint{{Address: "s", SameRegion: true}} },
				Draw: func(ctx context.Context, _ string, _ wheelgauge.CapUnitsRequest) (wheelgauge.CapUnitsResponse, error) {
					calls++
					<-ctx.Done()
					return wheelgauge.CapUnitsResponse{}, ctx.Err()
				},
			})
			defer client.Close()
			for range 2 {
				ctx, cancel := context.WithTimeout(t.Context(), tt.within)
				client.Acquire(ctx, testWorkspace, 1)
				cancel()
			}
			if calls != tt.calls {
				t.Errorf("%s: %d draws for two requests, want %d", tt.name, calls, tt.calls)
			}
		})
	}
}

// Units of a request that was not run are used for another one until they expire.
func TestRefund(t *testing.T) {
	tests := []struct {
		name  string
		after time.Duration
		units float64
		calls int
	}{{"at once", 0, 100, 0}, {"a smaller one", 0, 40, 0}, {"a larger one", 0, 101, 1}, {"too late", 2 * cachedTTL, 100, 1}}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			calls := 0
			client := New(Options{
				Host: "h", Boot: 1, Now: time.Now, Stores: func() []wheelgauge.StoreEndpoint { return []wheelgauge.StoreEndpoint{{Address: "a", SameRegion: true}} },
				Draw: func(context.Context, string, wheelgauge.CapUnitsRequest) (wheelgauge.CapUnitsResponse, error) {
					calls++
					return wheelgauge.CapUnitsResponse{Grants: []wheelgauge.CapGrant{{Granted: true}}}, nil
				},
			})
			defer client.Close()
			client.Refund(testWorkspace, 100)
			time.Sleep(tt.after)
			if err := client.Acquire(context.Background(), testWorkspace, tt.units); err != nil || calls != tt.calls {
				t.Errorf("%s: error %v, %d draws", tt.name, err, calls)
			}
		})
	}
}

// A host that no store answers any more goes on within its standalone rate and time.
func TestStandalone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unreachable := false
		client := New(Options{
			Host: "h", Boot: 1, Now: time.Now, Stores: func() []wheelgauge.StoreEndpoint { return []wheelgauge.StoreEndpoint{{Address: "a", SameRegion: true}} },
			Draw: func(ctx context.Context, _ string, _ wheelgauge.CapUnitsRequest) (wheelgauge.CapUnitsResponse, error) {
				if unreachable {
					<-ctx.Done()
					return wheelgauge.CapUnitsResponse{}, ctx.Err()
				}
				return wheelgauge.CapUnitsResponse{Grants: []wheelgauge.CapGrant{{Granted: true, StandaloneRate: 10000, StandaloneMS: 5000}}}, nil
			},
		})
		defer client.Close()
		if err := client.Acquire(context.Background(), testWorkspace, 100); err != nil {
			t.Fatal(err)
		}
		unreachable = true
		start, sent := time.Now(), 0.0
		for time.Since(start) < 4*time.Second {
			if client.Acquire(context.Background(), testWorkspace, 2000) == nil {
				sent += 2000
			}
			time.Sleep(10 * time.Millisecond)
		}
		// 43,000 in the mean, at random in steps of 2,000: five deviations of 9,000 either
		// way.
		if sent < 2000 || sent > 88000 {
			t.Errorf("%.0f units sent in 4 s standalone at 10,000 a second, want 2000 to 88000", sent)
		}
		time.Sleep(2 * time.Second)
		if err := client.Acquire(context.Background(), testWorkspace, 100); err == nil || err.Status() != http.StatusServiceUnavailable {
			t.Errorf("error after the standalone time is %v, want status 503", err)
		}
	})
}
