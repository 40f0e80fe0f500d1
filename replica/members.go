package replica

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"time"

	"wheelgauge"
	"wheelgauge/raft"
	"wheelgauge/votergroup"
)

const (
	pathJoin  = "/raft/join"
	pathLeave = "/raft/leave"
	// argForwarded marks a call that only a leader may handle: two stores that believe each
	// other to lead would forward it forever.
	argForwarded = "forwarded"
	argName      = "name"
	argSince     = "since"
	joinInterval = 400 * time.Millisecond
	// joinTimeout bounds the call to one store. It is shorter than an election, after which the
	// store may know another leader.
	joinTimeout = time.Second
	// leaveTimeout bounds how long a store that shuts down waits for a learner to replace it,
	// leaveInterval is how often it asks.
	leaveTimeout  = 2 * time.Second
	leaveInterval = 50 * time.Millisecond
	// replaceVoterTicks is longer than a follower waits for its leader. A learner that has caught up
	// should vote before the next store may fail.
	replaceVoterTicks  = 2 * electionTicks
	removeLearnerTicks = 20 * electionTicks
	leaveTicks         = 3 * electionTicks
)

var errMembersChanged = errors.New("the members changed meanwhile")

// joiner asks other stores to add this replica to the group whenever it may not be a member.
type joiner struct {
	r           *Replica
	lastAttempt time.Time
	calls       callSlots
}

func newJoiner(r *Replica) *joiner { return &joiner{r: r, calls: newCallSlots()} }

// tick asks all known stores every joinInterval while the replica needs to join.
func (j *joiner) tick(ctx context.Context) {
	r := j.r
	if len(r.founders()) > 0 || !votergroup.NeedsJoin(r.core) || r.disk.unwritable.Load() || time.Since(j.lastAttempt) < joinInterval {
		return
	}
	j.lastAttempt = time.Now()
	candidate := r.joinAs()
	for _, address := range r.knownStores() {
		if !j.calls.begin(address) {
			continue
		}
		r.net.senders.Add(1)
		go func() {
			defer r.net.senders.Done()
			defer j.calls.end(address)
			j.request(ctx, address, candidate)
		}()
	}
}

func (j *joiner) request(ctx context.Context, address string, candidate raft.Member) {
	callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	if err := j.r.options.Client.Call(callCtx, http.MethodPost, address, pathJoin, candidate, nil); err != nil {
		j.r.options.Log.V(1).Info("Join request failed.", "peer", address, "cause", err.Error())
		return
	}
	// Fails when the replica stops only.
	_ = j.r.submit(ctx, func() { j.r.joined(candidate.ID) })
}

// joinAs returns the member that this replica asks to be: an unverified one its successor.
func (r *Replica) joinAs() raft.Member {
	m := r.self()
	if r.storage.unverified {
		m.ID = r.storage.successor
	}
	return m
}

// joined is called once the group has a member with an ID that this replica asked for.
func (r *Replica) joined(id uint64) {
	if id == r.storage.successor {
		r.fatal = r.becomeSuccessor()
	}
}

// knownStores returns the addresses of the seeds, of the members and of all stores that sent
// messages to this one, without its own. The members may all have been replaced.
func (r *Replica) knownStores() []string {
	addresses := slices.Concat(r.options.Peers, r.founders(), r.net.knownAddresses())
	if r.options.RefreshPeers != nil {
		addresses = append(addresses, r.options.RefreshPeers()...)
	}
	for _, m := range r.core.Members() {
		addresses = append(addresses, m.Address)
	}
	slices.Sort(addresses)
	return slices.DeleteFunc(slices.Compact(addresses), func(a string) bool { return a == r.options.Address })
}

// Join adds a learner. Replicas other than the leader forward the request to it.
func (r *Replica) Join(ctx context.Context, m raft.Member) error {
	if !r.IsLeader() {
		return r.callLeader(ctx, http.MethodPost, pathJoin+"?"+argForwarded+"=true", m, nil)
	}
	return r.joinLocal(ctx, m)
}

func (r *Replica) joinLocal(ctx context.Context, m raft.Member) error {
	return r.changeMembers(ctx, func() ([]raft.Member, error) {
		next, err := r.planner.Join(r.core, m)
		if err == nil && next == nil && r.core.ChangePending() {
			return nil, noLeaderError("a change of the members is not committed yet")
		}
		return next, err
	})
}

// removeReply is the leader's response to a removal.
type removeReply struct {
	// Overtaken is set if the members changed after the index that the removal is based on.
	Overtaken bool `json:"overtaken"`
}

// Remove removes a member from the group, unless the members changed after the index since of the
// log: another store may have joined under the name.
func (r *Replica) Remove(ctx context.Context, name string, since uint64) (overtaken bool, err error) {
	if r.IsLeader() {
		reply, err := r.removeLocal(ctx, name, since)
		return reply.Overtaken, err
	}
	var reply removeReply
	path := fmt.Sprintf("%s?name=%s&%s=%d", pathJoin, url.QueryEscape(name), argSince, since)
	err = r.callLeader(ctx, http.MethodDelete, path, nil, &reply)
	return reply.Overtaken, err
}

func (r *Replica) removeLocal(ctx context.Context, name string, since uint64) (removeReply, error) {
	err := r.changeMembers(ctx, func() ([]raft.Member, error) {
		if r.core.LastChange() > since {
			return nil, errMembersChanged
		}
		members := r.core.Members()
		i := slices.IndexFunc(members, func(o raft.Member) bool { return o.Name == name })
		if i < 0 {
			return nil, wheelgauge.NewError(wheelgauge.ReasonNotFound, wheelgauge.OutcomeNotRun, http.StatusNotFound, "no store has this name: "+name)
		}
		return slices.Delete(members, i, i+1), nil
	})
	if errors.Is(err, errMembersChanged) {
		return removeReply{Overtaken: true}, nil
	}
	return removeReply{}, err
}

// changeMembers proposes the list that plan returns, unless it is nil, and waits for its commit.
func (r *Replica) changeMembers(ctx context.Context, plan func() ([]raft.Member, error)) error {
	done := make(chan result, 1)
	err := r.submit(ctx, func() {
		if r.core.Role() != raft.Leader {
			done <- result{err: noLeaderError("this store is not the leader")}
			return
		}
		next, err := plan()
		if err != nil || next == nil {
			done <- result{err: err}
			return
		}
		index, term, err := r.core.ProposeMembers(next)
		if err != nil {
			done <- result{err: noLeaderError(err.Error())}
			return
		}
		r.waiters[index] = waiter{term: term, done: []chan result{done}}
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

// leaveReply is the leader's response to a member that shuts down.
type leaveReply struct {
	// Wait is set while the member votes and a learner is about to replace it.
	Wait bool `json:"wait"`
}

// Leave announces that this replica shuts down, and waits until a learner votes in its place. It
// returns at once if there is none, as the replica may well come back.
func (r *Replica) Leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	for waited := false; ; waited = true {
		reply, err := r.announceLeave(ctx)
		replaced := err == nil && !reply.Wait
		// While the group changes, its leader may be unknown for a moment.
		if unreachable := err != nil && !waited; replaced || unreachable || ctx.Err() != nil {
			r.options.Log.Info("Replica leaves.", "waited", waited, "replaced", waited && replaced)
			return
		}
		select {
		case <-time.After(leaveInterval):
		case <-ctx.Done():
		}
	}
}

func (r *Replica) announceLeave(ctx context.Context) (leaveReply, error) {
	if r.IsLeader() {
		return r.leaveLocal(ctx, r.storage.self.ID)
	}
	var reply leaveReply
	err := r.callLeader(ctx, http.MethodPost, pathLeave, r.self(), &reply)
	return reply, err
}

// leaveLocal handles the announcement of a member at the leader.
func (r *Replica) leaveLocal(ctx context.Context, id uint64) (leaveReply, error) {
	done := make(chan leaveReply, 1)
	err := r.submit(ctx, func() {
		if r.core.Role() != raft.Leader {
			close(done)
			return
		}
		done <- leaveReply{Wait: r.planner.Leave(r.core, id)}
	})
	if err != nil {
		return leaveReply{}, err
	}
	select {
	case reply, ok := <-done:
		if !ok {
			return reply, noLeaderError("this store is not the leader")
		}
		return reply, nil
	case <-ctx.Done():
		return leaveReply{}, noLeaderError("the store is shutting down")
	}
}

// maintainMembers makes the leader propose the next planned change of the members.
func (r *Replica) maintainMembers() {
	next, cause := r.planner.Next(r.core)
	if next == nil {
		return
	}
	if _, _, err := r.core.ProposeMembers(next); err == nil {
		r.options.Log.Info("Membership change proposed.", "store", cause, "members", len(next))
	}
}
