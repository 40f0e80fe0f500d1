package replica

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"wheelgauge/raft"
	"wheelgauge/wal"
)

const (
	pathFounding = "/raft/founding"
	// foundingAskTicks is how often an initial voter on a blank disk asks the others.
	foundingAskTicks = 2
	// foundingWaitTicks is how long it waits for all of them before a majority is enough: longer than a
	// store that starts with it and has the state of a group takes to campaign.
	foundingWaitTicks = 3 * electionTicks
)

// An initial voter on a blank disk cannot tell by itself whether the group is new or whether its disk
// was lost: the settings may still be those of the first start. So it asks the other initial voters.
// Once one of them is known to be beyond the initial state, it joins as a new member. It writes the
// initial state if all of them, or a majority after some time, have nothing else either. That it may do
// so stands on its disk, so that it goes on when it is started again meanwhile.

// foundingReply is what a store answers to an initial voter.
type foundingReply struct {
	// Initial is set if it has nothing but the initial state, or may write that. Beyond is set if it
	// knows entries of a group.
	Initial bool `json:"initial"`
	Beyond  bool `json:"beyond"`
}

// founding asks the other initial voters while this replica may found the group with them.
type founding struct {
	r     *Replica
	ticks int
	calls callSlots
	// initial has the others that answered that they have the initial state at most.
	initial map[string]bool
}

func newFounding(r *Replica) *founding {
	return &founding{r: r, calls: newCallSlots(), initial: map[string]bool{}}
}

// founders returns the initial voters with which this replica may found the group, none if it may not.
func (r *Replica) founders() []string {
	if r.storage.unverified {
		return nil // it may have founded the group since its disk was copied
	}
	return r.storage.self.Founders
}

func (f *founding) tick(ctx context.Context) {
	r := f.r
	founders := r.founders()
	if len(founders) == 0 || r.disk.unwritable.Load() {
		return
	}
	agreed := 1 + len(f.initial)
	if agreed == len(founders) || f.ticks >= foundingWaitTicks && agreed > len(founders)/2 {
		r.fatal = r.found(agreed)
		return
	}
	if f.ticks%foundingAskTicks == 0 {
		f.ask(ctx)
	}
	f.ticks++
}

// ask asks all known stores: the other initial voters may have been replaced in a group that exists.
func (f *founding) ask(ctx context.Context) {
	r := f.r
	for _, address := range r.knownStores() {
		if !f.calls.begin(address) {
			continue
		}
		r.net.senders.Add(1)
		go func() {
			defer r.net.senders.Done()
			defer f.calls.end(address)
			callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
			defer cancel()
			var reply foundingReply
			if err := r.options.Client.Call(callCtx, http.MethodGet, address, pathFounding, nil, &reply); err != nil {
				r.options.Log.V(1).Info("Store does not tell whether there is a group.", "peer", address, "cause", err.Error())
				return
			}
			// Fails when the replica stops only.
			_ = r.submit(ctx, func() { f.answered(address, reply) })
		}()
	}
}

func (f *founding) answered(address string, reply foundingReply) {
	if reply.Beyond {
		f.r.abandonFounding(address)
		return
	}
	if reply.Initial && slices.Contains(f.r.founders(), address) {
		f.initial[address] = true
		return
	}
	delete(f.initial, address)
}

// found writes the initial state.
func (r *Replica) found(agreed int) error {
	state, err := r.storage.bootstrapGroup(r.founders(), r.options.Address)
	if err != nil && !wal.IsNoSpace(err) {
		return err
	}
	r.core = raft.New(r.coreOptions(), state)
	r.net.setSelf(r.self())
	r.options.Log.Info("Initial state of a new group written.", "id", r.storage.self.ID, "initial_voters", len(r.core.Members()), "agreed", agreed)
	if err != nil {
		r.suspendWrites(err)
	}
	return nil
}

// abandonFounding makes the replica one that joins a group, of which it was told by a store.
func (r *Replica) abandonFounding(by string) {
	if len(r.founders()) == 0 {
		return
	}
	r.storage.self.Founders = nil // also on disk, or the next start would ask again
	r.options.Log.Info("Initial voter on a blank disk joins a group that exists already.", "id", r.storage.self.ID, "peer", by)
	if err := r.storage.saveIdentity(); err != nil {
		r.storage.needsRewrite = true
		r.suspendWrites(err)
	}
}

// foundingState answers another initial voter.
func (r *Replica) foundingState() foundingReply {
	index, _ := r.core.LastEntry()
	return foundingReply{Initial: len(r.founders()) > 0 || index == initialIndex, Beyond: index > initialIndex}
}

// noticeGroup ends the founding if a message is from a store beyond the initial state.
func (r *Replica) noticeGroup(from raft.Member, messages []raft.Message) {
	if len(r.founders()) == 0 {
		return
	}
	beyond := func(m raft.Message) bool { return m.Index > initialIndex || len(m.Entries) > 0 || m.Snapshot != nil }
	if slices.ContainsFunc(messages, beyond) {
		r.abandonFounding(from.Address)
	}
}

// callSlots allows one call at a time to each address: a store that hangs holds up no call to
// another one.
type callSlots struct {
	mu      *sync.Mutex
	calling map[string]bool
}

func newCallSlots() callSlots { return callSlots{mu: &sync.Mutex{}, calling: map[string]bool{}} }

func (c callSlots) begin(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calling[address] {
		return false
	}
	c.calling[address] = true
	return true
}

func (c callSlots) end(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calling, address)
}
