package gateway

import (
	"context"
	"testing"
	"time"

	"wheelgauge/fake/fakeclock"
)

// A request that a suspended host held was sent when it woke, with the time that it had had
// before: by the steady clock none had passed, while its caller had left long ago.
func TestSuspendedRequestIsNotSent(t *testing.T) {
	const limit = 10 * time.Second
	tests := []struct {
		name  string
		sleep time.Duration
		sent  bool
	}{
		{"not suspended", 0, true},
		{"some of its time is left", limit / 2, true},
		{"its time is over", limit + time.Second, false},
		{"long since", time.Hour, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, clock := idle(t), &fakeclock.Clock{}
			g.clock = clock
			g.openPermits()
			clock.Suspend(time.Minute) // before the request came
			rq := asked(regions(1), 1)
			rq.asleep = g.asleep()
			rq.call.Deadline = time.Now().Add(limit)
			clock.Suspend(tt.sleep)
			if _, ok := g.pickPermitted(context.Background(), rq, nil); ok != tt.sent {
				t.Errorf("a server is chosen: %t, want %t", ok, tt.sent)
			}
			if g.over(rq) == tt.sent {
				t.Errorf("its time is over: %t", g.over(rq))
			}
			if left := time.Until(g.due(rq)); tt.sent && left > limit-tt.sleep {
				t.Errorf("%v of its time are left, want %v at most", left, limit-tt.sleep)
			}
		})
	}
}
