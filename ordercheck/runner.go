// Package ordercheck carries out orders so that one which is overtaken by a later acknowledged
// order changes nothing, however long it was held on its way.
//
// A store cannot know when an order was given, but it knows whether the sender still waits: then
// the sender has given no later one. So the store reads the index of the replicated log and what
// the order depends on, then checks the sender, then proposes the order with that index. The state
// machine rejects it if the log has a later order for the same subject: wherever the proposal is
// held up, the check happens where the state changes.
package ordercheck

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"wheelgauge"
)

const (
	// closeDelay is how long an order is held before its sender is checked. If the network held
	// both back, the close of the connection arrives up to a round trip between regions after the
	// bytes of the order.
	closeDelay = 250 * time.Millisecond
	// retryAfter is told to a sender whose order was not carried out.
	retryAfter = time.Second
)

// Log is the part of the replicated log that a Runner uses.
type Log interface {
	// ReadIndex returns an index that is not before any entry committed before the call.
	ReadIndex(ctx context.Context) (uint64, error)
}

// Prepare reads what an order depends on, as of the index since of the log or later. It returns
// the proposal of the order.
type Prepare func(ctx context.Context, since uint64) (Propose, error)

// Propose proposes an order that has no effect once the log has a later order for its subject, and
// reports whether it was overtaken by one.
type Propose func(ctx context.Context) (overtaken bool, err error)

// Runner carries out orders. It is safe for concurrent use.
type Runner struct {
	log   Log
	clock wheelgauge.Clock
	// wait returns after a duration or when the context is done.
	wait func(ctx context.Context, d time.Duration)
}

// New returns a Runner.
func New(log Log, clock wheelgauge.Clock) *Runner {
	return &Runner{log: log, clock: clock, wait: wait}
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Run proposes an order until it is carried out, as long as its sender waits. An order that was
// overtaken while the sender waits has no order with the other one, so it is proposed again.
func (r *Runner) Run(ctx context.Context, sender wheelgauge.Sender, prepare Prepare) error {
	received := r.clock.Now()
	for ctx.Err() == nil {
		since, err := r.readIndex(ctx)
		if err != nil {
			return fmt.Errorf("read index: %w", err)
		}
		propose, err := prepare(ctx, since)
		if err != nil {
			return fmt.Errorf("prepare: %w", err)
		}
		if held := r.clock.Now().Sub(received); !sender.Waiting() || sender.Patience() > 0 && held > sender.Patience() {
			return notCarriedOut(fmt.Sprintf("the sender of the order no longer waits; held for %d ms", held.Milliseconds()))
		}
		overtaken, err := propose(ctx)
		if err != nil || !overtaken {
			return err
		}
	}
	return notCarriedOut("other orders for the same subject were carried out meanwhile")
}

// readIndex reads the index of the log. It takes closeDelay at least.
func (r *Runner) readIndex(ctx context.Context) (uint64, error) {
	began := r.clock.Now()
	since, err := r.log.ReadIndex(ctx)
	if err != nil {
		return 0, err
	}
	r.wait(ctx, closeDelay-r.clock.Now().Sub(began))
	return since, nil
}

func notCarriedOut(detail string) error {
	return wheelgauge.NewError(wheelgauge.ReasonConflict, wheelgauge.OutcomeNotRun, http.StatusServiceUnavailable, detail).WithRetryAfter(retryAfter)
}
