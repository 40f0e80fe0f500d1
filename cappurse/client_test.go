package cappurse

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

// A region whose own stores are dark draws at far ones: ahead of requests, so that few
// wait for the way. Without, all of them waited for 110 ms, and bursts for as much again.
func TestPrefetchFromFarStore(t *testing.T) {
	const wayAndBack = 110 * time.Millisecond
	tests := []struct {
		name string
		near bool
		// waits is the most of 200 requests that wait for the way and back.
		waits int
	}{{"far", false, 40}, {"near", true, 200}}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			var mu sync.Mutex
			given := 0.0
			p := New(Options{
				Host: "h", Boot: 1, Now: time.Now,
				Stores: func() []wheelgauge.StoreAt { return []wheelgauge.StoreAt{{Address: "s", Near: tt.near}} },
				Ask: func(_ context.Context, _ string, ask wheelgauge.CapAsk) (wheelgauge.CapAnswer, error) {
					time.Sleep(wayAndBack)
					mu.Lock()
					defer mu.Unlock()
					given += ask.Wants[0].Units + ask.Wants[0].Ahead
					return wheelgauge.CapAnswer{Grants: []wheelgauge.CapGrant{{Granted: true, Ahead: ask.Wants[0].Ahead}}}, nil
				},
			})
			waits, used := 0, 0.0
			for range 200 {
				began := time.Now()
				if fault := p.Take(context.Background(), testWorkspace, 3000); fault != nil {
					t.Fatal(fault)
				}
				used += 3000
				if time.Since(began) >= wayAndBack {
					waits++
				}
				time.Sleep(50 * time.Millisecond)
			}
			p.Close()
			if waits > tt.waits {
				t.Errorf("%s: %d of 200 requests waited", tt.name, waits)
			}
			if tt.near && given != used {
				t.Errorf("near: %.0f drawn for %.0f", given, used)
			}
			if given > 1.5*used {
				t.Errorf("%s: %.0f drawn for %.0f", tt.name, given, used)
			}
		})
	}
}

func TestTake(t *testing.T) {
	granted := wheelgauge.CapGrant{Granted: true, Alone: 1e6, AloneMS: 1000}
	refusal := wheelgauge.CapGrant{AfterMS: 700, Alone: 1e6, AloneMS: 1000}
	tests := []struct {
		name string
		// grants by store; those that are not there do not answer.
		grants map[string]wheelgauge.CapGrant
		stores []wheelgauge.StoreAt
		status int
		after  time.Duration
		asked  int
	}{
		{"granted", map[string]wheelgauge.CapGrant{"a": granted}, []wheelgauge.StoreAt{{Address: "a", Near: true}}, 0, 0, 1},
		{"refused", map[string]wheelgauge.CapGrant{"a": refusal}, []wheelgauge.StoreAt{{Address: "a", Near: true}}, 429, 700 * time.Millisecond, 1},
		{"the first is dark", map[string]wheelgauge.CapGrant{"b": granted}, []wheelgauge.StoreAt{{Address: "a", Near: true}, {Address: "b"}}, 0, 0, 2},
		{"another store has the units", map[string]wheelgauge.CapGrant{"a": {AfterMS: 700, Elsewhere: "b"}, "b": granted}, []wheelgauge.StoreAt{{Address: "a", Near: true}}, 0, 0, 2},
		{"nor has that", map[string]wheelgauge.CapGrant{"a": {AfterMS: 700, Elsewhere: "b"}, "b": {AfterMS: 900}}, []wheelgauge.StoreAt{{Address: "a", Near: true}}, 429, 900 * time.Millisecond, 2},
		{"it does not answer", map[string]wheelgauge.CapGrant{"a": {AfterMS: 700, Elsewhere: "b"}}, []wheelgauge.StoreAt{{Address: "a", Near: true}}, 429, 700 * time.Millisecond, 2},
		{"no store answers, and none ever did", nil, []wheelgauge.StoreAt{{Address: "a", Near: true}}, 503, noStoreRetryAfter, 1},
		{"no store is known", nil, nil, 503, noStoreRetryAfter, 0},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			asked := 0
			p := New(Options{
				Host: "h", Boot: 1, Now: time.Now, Stores: func() []wheelgauge.StoreAt { return tt.stores },
				Ask: func(ctx context.Context, address string, _ wheelgauge.CapAsk) (wheelgauge.CapAnswer, error) {
					asked++
					if g, ok := tt.grants[address]; ok {
						return wheelgauge.CapAnswer{Grants: []wheelgauge.CapGrant{g}}, nil
					}
					<-ctx.Done()
					return wheelgauge.CapAnswer{}, errors.New("dark")
				},
			})
			defer p.Close()
			fault := p.Take(context.Background(), testWorkspace, 100)
			status, after := 0, time.Duration(0)
			if fault != nil {
				status, after = fault.Status(), fault.RetryAfter()
			}
			if status != tt.status || after != tt.after || asked != tt.asked {
				t.Errorf("%s: %d after %v, %d asked", tt.name, status, after, asked)
			}
			if fault != nil && fault.Outcome() != wheelgauge.OutcomeNotRun {
				t.Errorf("%s: outcome %s", tt.name, fault.Outcome())
			}
		})
	}
}

// Units of a request that was not run serve another one, for a while.
// What silences a store for all requests of the host: that it does not answer in the
// time an asking has, and not that the request which asked had less time than that.
func TestSilentStore(t *testing.T) {
	tests := []struct {
		name   string
		within time.Duration
		asked  int
	}{
		{"the request's time is over", 20 * time.Millisecond, 2},
		{"the store does not answer", time.Second, 1},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			asked := 0
			p := New(Options{
				Host: "h", Boot: 1, Now: time.Now,
				Stores: func() []wheelgauge.StoreAt { return []wheelgauge.StoreAt{{Address: "s", Near: true}} },
				Ask: func(ctx context.Context, _ string, _ wheelgauge.CapAsk) (wheelgauge.CapAnswer, error) {
					asked++
					<-ctx.Done()
					return wheelgauge.CapAnswer{}, ctx.Err()
				},
			})
			defer p.Close()
			for range 2 {
				ctx, cancel := context.WithTimeout(t.Context(), tt.within)
				p.Take(ctx, testWorkspace, 1)
				cancel()
			}
			if asked != tt.asked {
				t.Errorf("%s: the store was asked %d times for two requests, want %d", tt.name, asked, tt.asked)
			}
		})
	}
}

func TestReturn(t *testing.T) {
	tests := []struct {
		name  string
		after time.Duration
		units float64
		asked int
	}{{"at once", 0, 100, 0}, {"a smaller one", 0, 40, 0}, {"a larger one", 0, 101, 1}, {"too late", 2 * cachedTTL, 100, 1}}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			asked := 0
			p := New(Options{
				Host: "h", Boot: 1, Now: time.Now, Stores: func() []wheelgauge.StoreAt { return []wheelgauge.StoreAt{{Address: "a", Near: true}} },
				Ask: func(context.Context, string, wheelgauge.CapAsk) (wheelgauge.CapAnswer, error) {
					asked++
					return wheelgauge.CapAnswer{Grants: []wheelgauge.CapGrant{{Granted: true}}}, nil
				},
			})
			defer p.Close()
			p.Return(testWorkspace, 100)
			time.Sleep(tt.after)
			if fault := p.Take(context.Background(), testWorkspace, tt.units); fault != nil || asked != tt.asked {
				t.Errorf("%s: %v, %d asked", tt.name, fault, asked)
			}
		})
	}
}

// A host that no store answers any more goes on within what it was told, for as long.
func TestStandalone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dark := false
		p := New(Options{
			Host: "h", Boot: 1, Now: time.Now, Stores: func() []wheelgauge.StoreAt { return []wheelgauge.StoreAt{{Address: "a", Near: true}} },
			Ask: func(ctx context.Context, _ string, _ wheelgauge.CapAsk) (wheelgauge.CapAnswer, error) {
				if dark {
					<-ctx.Done()
					return wheelgauge.CapAnswer{}, ctx.Err()
				}
				return wheelgauge.CapAnswer{Grants: []wheelgauge.CapGrant{{Granted: true, Alone: 10000, AloneMS: 5000}}}, nil
			},
		})
		defer p.Close()
		if fault := p.Take(context.Background(), testWorkspace, 100); fault != nil {
			t.Fatal(fault)
		}
		dark = true
		began, sent := time.Now(), 0.0
		for time.Since(began) < 4*time.Second {
			if p.Take(context.Background(), testWorkspace, 2000) == nil {
				sent += 2000
			}
			time.Sleep(10 * time.Millisecond)
		}
		// 43,000 in the mean, by lot in steps of 2,000: five deviations of 9,000 either way.
		if sent < 2000 || sent > 88000 {
			t.Errorf("alone for 4 s at 10,000 a second it sent %.0f", sent)
		}
		time.Sleep(2 * time.Second)
		if fault := p.Take(context.Background(), testWorkspace, 100); fault == nil || fault.Status() != http.StatusServiceUnavailable {
			t.Errorf("after that it is refused with %v", fault)
		}
	})
}
