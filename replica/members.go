package replica

import (
	"context"
	"net/http"
	"slices"
	"time"

	"wheelgauge"
	"wheelgauge/raft"
)

const (
	pathJoin     = "/raft/join"
	joinEvery    = time.Second
	joinTimeout  = 3 * time.Second
	caughtUpLag  = 16
	maxMembers   = 7
	maintainTime = 250 * time.Millisecond
)

// joiner asks the peers to take a replica on a blank disk in.
type joiner struct {
	r    *Replica
	last time.Time
}

func newJoiner(r *Replica) *joiner { return &joiner{r: r} }

// tick starts one attempt a second until this replica is a member.
func (j *joiner) tick(ctx context.Context) {
	r := j.r
	known := slices.ContainsFunc(r.core.Members(), func(m raft.Member) bool { return m.ID == r.storage.self.ID })
	if known || time.Since(j.last) < joinEvery {
		return
	}
	j.last = time.Now()
	r.net.group.Add(1)
	go func() {
		defer r.net.group.Done()
		r.askToJoin(ctx)
	}()
}

func (r *Replica) askToJoin(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	for _, peer := range r.options.Peers {
		if peer == r.options.Address {
			continue
		}
		err := r.options.Client.Call(ctx, http.MethodPost, peer, pathJoin, r.self(), nil)
		if err == nil {
			return
		}
		r.options.Log.V(1).Info("Join is not taken.", "peer", peer, "cause", err.Error())
	}
}

// Join adds a learner. Any replica passes it on to the leader.
func (r *Replica) Join(ctx context.Context, m raft.Member) error {
	if !r.Leading() {
		return r.askLeader(ctx, http.MethodPost, pathJoin, m, nil)
	}
	m.Voter = false
	return r.changeMembers(ctx, func(members []raft.Member) ([]raft.Member, error) {
		if slices.ContainsFunc(members, func(o raft.Member) bool { return o.ID == m.ID }) {
			return nil, nil
		}
		old := slices.IndexFunc(members, func(o raft.Member) bool { return o.Name == m.Name })
		if old >= 0 && r.core.Active(members[old].ID) {
			return nil, wheelgauge.NewError(wheelgauge.ReasonConflict, wheelgauge.OutcomeNotRun, http.StatusConflict, "a store of this name is alive: "+m.Name)
		}
		if len(members) >= maxMembers {
			return nil, wheelgauge.NewError(wheelgauge.ReasonInvalid, wheelgauge.OutcomeNotRun, http.StatusConflict, "the group is full")
		}
		return append(members, m), nil
	})
}

// Remove takes a member out of the group.
func (r *Replica) Remove(ctx context.Context, name string) error {
	if !r.Leading() {
		return r.askLeader(ctx, http.MethodDelete, pathJoin+"?name="+name, nil, nil)
	}
	return r.changeMembers(ctx, func(members []raft.Member) ([]raft.Member, error) {
		i := slices.IndexFunc(members, func(o raft.Member) bool { return o.Name == name })
		if i < 0 {
			return nil, wheelgauge.NewError(wheelgauge.ReasonNotFound, wheelgauge.OutcomeNotRun, http.StatusNotFound, "no store of this name: "+name)
		}
		return slices.Delete(members, i, i+1), nil
	})
}

func (r *Replica) changeMembers(ctx context.Context, edit func([]raft.Member) ([]raft.Member, error)) error {
	done := make(chan result, 1)
	err := r.submit(ctx, func() {
		next, err := edit(r.core.Members())
		if err != nil || next == nil {
			done <- result{err: err}
			return
		}
		index, term, err := r.core.ProposeMembers(next)
		if err != nil {
			done <- result{err: noLeader(err.Error())}
			return
		}
		r.waiters[index] = waiter{term: term, done: done}
	})
	if err != nil {
		return err
	}
	select {
	case res := <-done:
		return res.err
	case <-ctx.Done():
		return noLeader("the change of members is not committed in time").WithOutcome(wheelgauge.OutcomeUnknown)
	}
}

// maintain lets the leader make a learner that has caught up a voter. The
// member whose place it takes goes first, so that the number of failures the
// group survives never shrinks below what it was.
func (r *Replica) maintain() {
	if r.core.Role() != raft.Leader {
		return
	}
	members := r.core.Members()
	for i, m := range members {
		if m.Voter || !r.core.Active(m.ID) || r.core.Match(m.ID)+caughtUpLag < r.core.Commit() || r.core.Match(m.ID) == 0 {
			continue
		}
		next := slices.Clone(members)
		old := slices.IndexFunc(members, func(o raft.Member) bool { return o.Name == m.Name && o.ID != m.ID })
		if old >= 0 {
			next = slices.Delete(next, old, old+1)
		} else {
			next[i].Voter = true
		}
		if _, _, err := r.core.ProposeMembers(next); err == nil {
			r.options.Log.Info("Members change.", "store", m.Name, "replaces", old >= 0)
		}
		return
	}
}
