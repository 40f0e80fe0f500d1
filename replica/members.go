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
	pathJoin       = "/raft/join"
	joinInterval   = 400 * time.Millisecond
	joinTimeout    = 3 * time.Second
	maxCaughtUpLag = 16
	maxMembers     = 15
	// replaceVoterTicks is how long a voter must not reply before a learner that
	// has caught up replaces it: longer than any election.
	replaceVoterTicks = 3 * electionTicks
	// removeLearnerTicks is how long a learner must not reply before it is removed.
	removeLearnerTicks = 20 * electionTicks
)

// joiner requests that the peers add a replica that is not a member yet.
type joiner struct {
	r           *Replica
	lastAttempt time.Time
}

func newJoiner(r *Replica) *joiner { return &joiner{r: r} }

// tick starts an attempt every joinInterval until this replica is a member.
func (j *joiner) tick(ctx context.Context) {
	r := j.r
	isMember := slices.ContainsFunc(r.core.Members(), func(m raft.Member) bool { return m.ID == r.storage.self.ID })
	if isMember || r.disk.unwritable.Load() || time.Since(j.lastAttempt) < joinInterval {
		return
	}
	j.lastAttempt = time.Now()
	r.net.senders.Add(1)
	go func() {
		defer r.net.senders.Done()
		r.requestJoin(ctx)
	}()
}

func (r *Replica) requestJoin(ctx context.Context) {
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
		r.options.Log.V(1).Info("Join request failed.", "peer", peer, "cause", err.Error())
	}
}

// Join adds a learner. Replicas other than the leader forward the request to it.
func (r *Replica) Join(ctx context.Context, m raft.Member) error {
	if !r.IsLeader() {
		return r.callLeader(ctx, http.MethodPost, pathJoin, m, nil)
	}
	m.Voter = false
	return r.changeMembers(ctx, func(members []raft.Member) ([]raft.Member, error) {
		if slices.ContainsFunc(members, func(o raft.Member) bool { return o.ID == m.ID }) {
			return nil, nil
		}
		existing := slices.IndexFunc(members, func(o raft.Member) bool { return o.Name == m.Name })
		if existing >= 0 && r.core.RecentlyActive(members[existing].ID) {
			return nil, wheelgauge.NewError(wheelgauge.ReasonConflict, wheelgauge.OutcomeNotRun, http.StatusConflict, "a store of this name is still active: "+m.Name)
		}
		if len(members) >= maxMembers {
			return nil, wheelgauge.NewError(wheelgauge.ReasonInvalid, wheelgauge.OutcomeNotRun, http.StatusConflict, "the group has the maximum number of members")
		}
		return append(members, m), nil
	})
}

// Remove removes a member from the group.
func (r *Replica) Remove(ctx context.Context, name string) error {
	if !r.IsLeader() {
		return r.callLeader(ctx, http.MethodDelete, pathJoin+"?name="+name, nil, nil)
	}
	return r.changeMembers(ctx, func(members []raft.Member) ([]raft.Member, error) {
		i := slices.IndexFunc(members, func(o raft.Member) bool { return o.Name == name })
		if i < 0 {
			return nil, wheelgauge.NewError(wheelgauge.ReasonNotFound, wheelgauge.OutcomeNotRun, http.StatusNotFound, "no store has this name: "+name)
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
			done <- result{err: noLeaderError(err.Error())}
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
		return noLeaderError("the membership change was not committed in time").WithOutcome(wheelgauge.OutcomeUnknown)
	}
}

// maintainMembers makes the leader promote a learner that has caught up to a
// voter. The member that it replaces is removed first, so that the number of
// failures that the group tolerates never falls below what it was. Learners that
// no longer reply are removed.
func (r *Replica) maintainMembers() {
	if r.core.Role() != raft.Leader {
		return
	}
	members := r.core.Members()
	for i, m := range members {
		if m.Voter || !r.caughtUp(m) {
			continue
		}
		next := slices.Clone(members)
		replaced := r.memberToReplace(members, m)
		switch {
		case replaced >= 0:
			next = slices.Delete(next, replaced, replaced+1)
		case r.hasAllVoters(members):
			continue
		default:
			next[i].Voter = true
		}
		r.proposeMembers(next, m.Name)
		return
	}
	i := slices.IndexFunc(members, func(m raft.Member) bool { return !m.Voter && r.core.TicksSinceReply(m.ID) > removeLearnerTicks })
	if i >= 0 {
		r.proposeMembers(slices.Delete(slices.Clone(members), i, i+1), members[i].Name)
	}
}

func (r *Replica) proposeMembers(next []raft.Member, cause string) {
	if _, _, err := r.core.ProposeMembers(next); err == nil {
		r.options.Log.Info("Membership change proposed.", "store", cause, "members", len(next))
	}
}

func (r *Replica) caughtUp(m raft.Member) bool {
	match := r.core.Match(m.ID)
	return match > 0 && r.core.RecentlyActive(m.ID) && match+maxCaughtUpLag >= r.core.Commit()
}

// hasAllVoters reports whether the group has the configured number of voters.
func (r *Replica) hasAllVoters(members []raft.Member) bool {
	voters := 0
	for _, m := range members {
		if m.Voter {
			voters++
		}
	}
	return r.options.Voters > 0 && voters >= r.options.Voters
}

// memberToReplace returns the index of the member that a learner replaces, or -1:
// the member of the same name, whose disk was lost, or, if the group has all
// voters, a voter that has not replied for replaceVoterTicks.
func (r *Replica) memberToReplace(members []raft.Member, learner raft.Member) int {
	sameName := slices.IndexFunc(members, func(m raft.Member) bool { return m.Name == learner.Name && m.ID != learner.ID })
	if sameName >= 0 || !r.hasAllVoters(members) {
		return sameName
	}
	return slices.IndexFunc(members, func(m raft.Member) bool {
		return m.Voter && m.ID != r.storage.self.ID && r.core.TicksSinceReply(m.ID) > replaceVoterTicks
	})
}
