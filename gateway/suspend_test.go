package gateway

import (
	"context"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/fake/suspendclock"
)

// A request held by a suspended host must not be sent after the host wakes if its deadline has
// passed. On the monotonic clock no time has passed meanwhile, so the deadline must be checked
// on the clock that counts suspended time; the caller may have left long ago.
func TestExpiredRequestIsNotSentAfterSuspend(t *testing.T) {
	const limit = 10 * time.Second
	tests := []struct {
		name    string
		suspend time.Duration
		sent    bool
	}{
		{"not suspended", 0, true},
		{"some of its time is left", limit / 2, true},
		{"its time is over", limit + time.Second, false},
		{"long since", time.Hour, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, clock := newTestGateway(t), &suspendclock.Clock{}
			g.clock = clock
			g.openPermits()
			clock.Suspend(time.Minute) // before the request arrives
			rq := newTestRequest(testCatalog(1), 1)
			rq.suspendedAtStart = g.suspended()
			rq.call.Deadline = time.Now().Add(limit)
			clock.Suspend(tt.suspend)
			if _, ok := g.pickPermitted(context.Background(), rq, nil); ok != tt.sent {
				t.Errorf("server chosen: %t, want %t", ok, tt.sent)
			}
			if g.expired(rq) == tt.sent {
				t.Errorf("request expired: %t", g.expired(rq))
			}
			if left := time.Until(g.localDeadline(rq)); tt.sent && left > limit-tt.suspend {
				t.Errorf("%v left until the local deadline, want at most %v", left, limit-tt.suspend)
			}
		})
	}
}

// A call in flight must end at its deadline even if the host was suspended meanwhile. The call's
// own deadline is on the monotonic clock, which excludes the suspended time.
func TestCallInFlightExpiresAfterSuspend(t *testing.T) {
	const limit = time.Hour
	g, clock := newTestGateway(t), &suspendclock.Clock{}
	g.clock = clock
	rq := newTestRequest(testCatalog(1), 1)
	rq.call.Deadline = time.Now().Add(limit)
	answer, cancelled, sent := make(chan struct{}), make(chan struct{}), make(chan struct{})
	t.Cleanup(g.background.Wait)
	defer close(answer)
	go func() {
		<-sent
		clock.Suspend(limit + time.Second)
	}()
	_, err := g.sendWatched(rq,
		func() (*wheelgauge.Response, error) {
			close(sent)
			<-answer
			return nil, context.Canceled
		},
		func() { close(cancelled) },
		func() bool { return false })
	fault := wheelgauge.AsError(err)
	if fault.Reason() != wheelgauge.ReasonDeadline || fault.Outcome() != wheelgauge.OutcomeUnknown {
		t.Errorf("call ended with %v, want reason deadline and outcome unknown", err)
	}
	<-cancelled // otherwise the server would go on working
}
