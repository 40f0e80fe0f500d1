package replica

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"wheelgauge"
	"wheelgauge/peerhttp"
)

const (
	pathPropose = "/raft/propose"
	pathBarrier = "/raft/barrier"
)

// proposal is the answer of the leader to a forwarded command or barrier.
type proposal struct {
	Index  uint64          `json:"index"`
	Answer json.RawMessage `json:"answer,omitempty"`
}

// submit runs f in the run loop.
func (r *Replica) submit(ctx context.Context, f func()) error {
	select {
	case r.do <- f:
		return nil
	case <-ctx.Done():
		return noLeader("the store is too busy to take the change")
	}
}

// Propose implements wheelgauge.Proposer; any replica takes commands and hands
// them to the leader.
func (r *Replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if r.Leading() {
		p, err := r.proposeHere(ctx, command)
		return p.Answer, err
	}
	var p proposal
	if err := r.askLeader(ctx, http.MethodPost, pathPropose, json.RawMessage(command), &p); err != nil {
		return nil, fmt.Errorf("propose: %w", err)
	}
	return p.Answer, nil
}

func (r *Replica) askLeader(ctx context.Context, method, path string, in, out any) error {
	address := r.LeaderAddress()
	if address == "" {
		return noLeader("no leader is known")
	}
	err := r.options.Client.Call(ctx, method, address, path, in, out)
	if err != nil && peerhttp.NotSent(err) {
		return noLeader("the leader is not reached")
	}
	return err
}

func (r *Replica) proposeHere(ctx context.Context, command []byte) (proposal, error) {
	done := make(chan result, 1)
	err := r.submit(ctx, func() {
		index, term, err := r.core.Propose(command)
		if err != nil {
			done <- result{err: noLeader("this store is not the leader")}
			return
		}
		r.waiters[index] = waiter{term: term, done: done}
	})
	if err != nil {
		return proposal{}, err
	}
	select {
	case res := <-done:
		return proposal{Index: res.index, Answer: res.answer}, res.err
	case <-ctx.Done():
		return proposal{}, wheelgauge.NewError(wheelgauge.ReasonNoLeader, wheelgauge.OutcomeUnknown, http.StatusGatewayTimeout,
			"not committed in time; it may be later: send the same change ID again").WithRetryAfter(leaderRetryTime)
	}
}

// ReadBarrier implements wheelgauge.Proposer.
func (r *Replica) ReadBarrier(ctx context.Context) error {
	var p proposal
	var err error
	if r.Leading() {
		p, err = r.barrierHere(ctx)
	} else {
		err = r.askLeader(ctx, http.MethodGet, pathBarrier, nil, &p)
	}
	if err != nil {
		return fmt.Errorf("read barrier: %w", err)
	}
	if at, _ := r.applied.get(); at < p.Index && r.disk.refuses.Load() {
		return noDisk()
	}
	if err := r.applied.wait(ctx, p.Index); err != nil {
		return noLeader("this store lags behind")
	}
	return nil
}

func (r *Replica) barrierHere(ctx context.Context) (proposal, error) {
	done := make(chan result, 1)
	err := r.submit(ctx, func() {
		r.nextRead++
		if err := r.core.Read(r.nextRead); err != nil {
			done <- result{err: noLeader("this store is not the leader")}
			return
		}
		r.barriers[r.nextRead] = done
	})
	if err != nil {
		return proposal{}, err
	}
	select {
	case res := <-done:
		return proposal{Index: res.index}, res.err
	case <-ctx.Done():
		return proposal{}, noLeader("the leader is not confirmed in time")
	}
}
