package replica

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"wheelgauge"
	"wheelgauge/peerhttp"
	"wheelgauge/raft"
)

const (
	pathPropose = "/raft/propose"
	pathBarrier = "/raft/barrier"
	// onceArg marks a command that is proposed once. A leader that does not know it proposes each.
	onceArg = "once"
)

// leaderResult is the leader's response to a forwarded command or read barrier.
type leaderResult struct {
	Index    uint64          `json:"index"`
	Response json.RawMessage `json:"answer,omitempty"`
}

// submit queues f for the run loop.
func (r *Replica) submit(ctx context.Context, f func()) error {
	select {
	case r.tasks <- f:
		return nil
	case <-ctx.Done():
		return noLeaderError("the store is too busy to accept the request")
	}
}

// Propose implements wheelgauge.Proposer. Replicas other than the leader forward
// the command to it.
func (r *Replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	return r.propose(ctx, pathPropose, command, r.proposeLocal)
}

// ProposeOnce is Propose for a command that has the same effect however often it is applied. If the
// leader has proposed the same one and it is not applied yet, its result is waited for.
func (r *Replica) ProposeOnce(ctx context.Context, command []byte) ([]byte, error) {
	return r.propose(ctx, pathPropose+"?"+onceArg+"=1", command, r.proposeOnceLocal)
}

func (r *Replica) propose(ctx context.Context, path string, command []byte, local func(context.Context, []byte) (leaderResult, error)) ([]byte, error) {
	if r.IsLeader() {
		p, err := local(ctx, command)
		return p.Response, err
	}
	var p leaderResult
	if err := r.callLeader(ctx, http.MethodPost, path, json.RawMessage(command), &p); err != nil {
		return nil, fmt.Errorf("propose: %w", err)
	}
	return p.Response, nil
}

func (r *Replica) callLeader(ctx context.Context, method, path string, in, out any) error {
	address := r.LeaderAddress()
	if address == "" {
		return noLeaderError("no leader is known")
	}
	err := r.options.Client.Call(ctx, method, address, path, in, out)
	if err != nil && peerhttp.NotSent(err) {
		return noLeaderError("the leader is unreachable")
	}
	return err
}

func (r *Replica) proposeLocal(ctx context.Context, command []byte) (leaderResult, error) {
	return r.awaitCommit(ctx, func(done chan result) { r.appendCommand(command, waiter{done: []chan result{done}}) })
}

func (r *Replica) proposeOnceLocal(ctx context.Context, command []byte) (leaderResult, error) {
	return r.awaitCommit(ctx, func(done chan result) {
		if !r.joinProposal(command, done) {
			r.appendCommand(command, waiter{once: command, done: []chan result{done}})
		}
	})
}

// awaitCommit runs a proposal in the run loop and waits for its result.
func (r *Replica) awaitCommit(ctx context.Context, propose func(done chan result)) (leaderResult, error) {
	done := make(chan result, 1)
	if err := r.submit(ctx, func() { propose(done) }); err != nil {
		return leaderResult{}, err
	}
	select {
	case res := <-done:
		return leaderResult{Index: res.index, Response: res.response}, res.err
	case <-ctx.Done():
		return leaderResult{}, wheelgauge.NewError(wheelgauge.ReasonNoLeader, wheelgauge.OutcomeUnknown, http.StatusGatewayTimeout,
			"not committed in time; it may still be committed: retry with the same change ID").WithRetryAfter(leaderRetryAfter)
	}
}

// appendCommand appends a command to the leader's log.
func (r *Replica) appendCommand(command []byte, w waiter) {
	index, term, err := r.core.Propose(command)
	if err != nil {
		w.end(result{err: noLeaderError("this store is not the leader")})
		return
	}
	w.term = term
	r.waiters[index] = w
}

// joinProposal adds done to those that wait for the same command, if this leader has proposed it in
// its term and not applied it: then it is still in the log.
func (r *Replica) joinProposal(command []byte, done chan result) bool {
	for index, w := range r.waiters {
		if r.core.Role() == raft.Leader && w.term == r.core.Term() && bytes.Equal(w.once, command) {
			w.done = append(w.done, done)
			r.waiters[index] = w
			r.options.Log.Info("A command that is in the log is waited for.", "index", index, "term", w.term, "bytes", len(command), "waiting", len(w.done))
			return true
		}
	}
	return false
}

// ReadIndex returns the index of a committed entry that is not before any that was committed
// before the call, once a quorum has confirmed the leader.
func (r *Replica) ReadIndex(ctx context.Context) (uint64, error) {
	var p leaderResult
	var err error
	if r.IsLeader() {
		p, err = r.barrierLocal(ctx)
	} else {
		err = r.callLeader(ctx, http.MethodGet, pathBarrier, nil, &p)
	}
	if err != nil {
		return 0, fmt.Errorf("read barrier: %w", err)
	}
	return p.Index, nil
}

// ReadBarrier implements wheelgauge.Proposer.
func (r *Replica) ReadBarrier(ctx context.Context) error {
	index, err := r.ReadIndex(ctx)
	if err != nil {
		return err
	}
	return r.AwaitApplied(ctx, index)
}

// AwaitApplied returns once this replica has applied the entry at index.
func (r *Replica) AwaitApplied(ctx context.Context, index uint64) error {
	if applied, _ := r.applied.get(); applied < index && r.disk.unwritable.Load() {
		return diskUnwritableError()
	}
	if err := r.applied.wait(ctx, index); err != nil {
		return noLeaderError("this store did not catch up with the leader in time")
	}
	return nil
}

func (r *Replica) barrierLocal(ctx context.Context) (leaderResult, error) {
	done := make(chan result, 1)
	err := r.submit(ctx, func() {
		r.nextRead++
		if err := r.core.ReadIndex(r.nextRead); err != nil {
			done <- result{err: noLeaderError("this store is not the leader")}
			return
		}
		r.barriers[r.nextRead] = done
	})
	if err != nil {
		return leaderResult{}, err
	}
	select {
	case res := <-done:
		return leaderResult{Index: res.index}, res.err
	case <-ctx.Done():
		return leaderResult{}, noLeaderError("leadership was not confirmed in time")
	}
}
