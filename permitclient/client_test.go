package permitclient

import (
	"context"
	"errors"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/fake/manualclock"
	"wheelgauge/serverlimit"
)

var errUnreachable = errors.New("unreachable")

func TestTake(t *testing.T) {
	const server = "s"
	granted := wheelgauge.PermitResponse{Granted: true, Limit: wheelgauge.ServerLimit{Server: server, Rate: 2}}
	refused := wheelgauge.PermitResponse{DelayMS: 700, Limit: wheelgauge.ServerLimit{Server: server, Rate: 2}}
	ended := wheelgauge.PermitResponse{Granted: true, Limit: wheelgauge.ServerLimit{Server: server, Removed: true}}
	all := []wheelgauge.RegionStore{{Address: "a", Reachable: true}, {Address: "b", Reachable: true}}
	tests := []struct {
		name    string
		limited bool
		stores  []wheelgauge.RegionStore
		// answers by store; other stores do not answer.
		answers   map[string]wheelgauge.PermitResponse
		after     time.Duration
		ok        bool
		calls     int
		fallbacks int
	}{
		{"no limit", false, all, nil, 0, true, 0, 0},
		{"granted", true, all, map[string]wheelgauge.PermitResponse{"a": granted, "b": granted}, 0, true, 1, 0},
		{"refused", true, all, map[string]wheelgauge.PermitResponse{"a": refused, "b": refused}, 700 * time.Millisecond, false, 1, 0},
		{"the limit has ended", true, all, map[string]wheelgauge.PermitResponse{"a": ended, "b": ended}, 0, true, 1, 0},
		{"the server's store is silent", true, []wheelgauge.RegionStore{{Address: "a"}, {Address: "b"}, {Address: "c", Reachable: true}}, map[string]wheelgauge.PermitResponse{"c": granted}, 0, true, 1, 1},
		{"no store answers, a share is left", true, all, nil, 0, true, 2, 1},
		{"no store is known, a share is left", true, nil, nil, 0, true, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			k := manualclock.New()
			limits := serverlimit.New(k.Now)
			if tt.limited {
				limits.ObserveLimit(server, 2)
			}
			k.Advance(time.Second)
			calls, fallbacks := 0, 0
			c := New(Options{
				Host: "h", Limits: limits, Now: k.Now,
				Stores:  func() []wheelgauge.RegionStore { return append([]wheelgauge.RegionStore(nil), tt.stores...) },
				Sharers: func() []string { return []string{"h"} },
				Request: func(_ context.Context, address string, req wheelgauge.PermitRequest) (wheelgauge.PermitResponse, error) {
					calls++
					if req.Fallback {
						fallbacks++
					}
					if a, ok := tt.answers[address]; ok {
						return a, nil
					}
					return wheelgauge.PermitResponse{}, errUnreachable
				},
			})
			after, ok := c.Acquire(context.Background(), server, 0)
			if after != tt.after || ok != tt.ok || calls != tt.calls || fallbacks != tt.fallbacks {
				t.Errorf("after %v, granted %v, %d requests, %d fallbacks; want %v, %v, %d, %d", after, ok, calls, fallbacks, tt.after, tt.ok, tt.calls, tt.fallbacks)
			}
			if _, known := limits.Rate(server); known == (tt.name == "the limit has ended") && tt.limited {
				t.Errorf("limit is known: %v", known)
			}
			if !tt.ok || tt.calls > 0 && len(tt.answers) > 0 || !tt.limited {
				return
			}
			// The share is used up now, and stores that were silent are not tried for each
			// request.
			if after, ok := c.Acquire(context.Background(), server, 0); ok || after != standaloneRetryAfter || calls != tt.calls {
				t.Errorf("second request: after %v, granted %v, %d requests in total", after, ok, calls)
			}
		})
	}
}
