package gateway

import (
	"context"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/fake/fakeclock"
)

// A request that a suspended host held was sent when it woke, with the time that it had had
// before: by the steady clock none had passed, while its caller had left long ago.
func TestExpiredRequestIsNotSentAfterSuspend(t *testing.T) {
	const limit = 10 * time.Second
	tests := []struct {
		name  string
		suspend time.Duration
		sent  bool
	}{
		{"not suspended", 0, true},
		{"some of its time is left", limit / 2, true},
		{"its time is over", limit + time.Second, false},
		{"long since", time.Hour, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, clock := newTestGateway(t), &fakeclock.Clock{}
			g.clock = clock
			g.openPermits()
			clock.Suspend(time.Minute) // before the request came
			rq := newTestRequest(testCatalog(1), 1)
			rq.suspendedAtStart = g.suspended()
			rq.call.Deadline = time.Now().Add(limit)
			clock.Suspend(tt.suspend)
			if _, ok := g.pickPermitted(context.Background(), rq, nil); ok != tt.sent {
				t.Errorf("a server is chosen: %t, want %t", ok, tt.sent)
			}
			if g.expired(rq) == tt.sent {
				t.Errorf("its time is over: %t", g.expired(rq))
			}
			if left := time.Until(g.localDeadline(rq)); tt.sent && left > limit-tt.suspend {
				t.Errorf("%v of its time are left, want %v at most", left, limit-tt.suspend)
			}
		})
	}
}

// A call in flight waited on by what a suspended host had not counted: its own deadline goes
// by the steady clock.
func TestCallInFlightExpiresAfterSuspend(t *testing.T) {
	const limit = time.Hour
	g, clock := newTestGateway(t), &fakeclock.Clock{}
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
		func() (*wheelgauge.Answer, error) {
			close(sent)
			<-answer
			return nil, context.Canceled
		},
		func() { close(cancelled) },
		func() bool { return false })
	fault := wheelgauge.AsError(err)
	if fault.Reason() != wheelgauge.ReasonDeadline || fault.Outcome() != wheelgauge.OutcomeUnknown {
		t.Errorf("it ends with %v", err)
	}
	<-cancelled // or the server goes on with it
}
