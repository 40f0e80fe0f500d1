// Package replica runs one member of a Raft group: it drives the core, persists
// its log, exchanges messages with the other members and applies committed
// commands to the state machine.
package replica

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
	"wheelgauge/peerhttp"
	"wheelgauge/raft"
	"wheelgauge/votergroup"
	"wheelgauge/wal"
)

const (
	heartbeatTicks = 4
	electionTicks  = 20
	compactEntries = 512
	// compactBytes is the log size from which on it is compacted after
	// minCompactEntries: an entry may hold a whole configuration of megabytes.
	compactBytes      = 16 << 20
	minCompactEntries = 8
	retainedEntries   = 128
	taskQueueLength   = 1024
	maxBatchLength    = 256
	leaderRetryAfter  = time.Second
)

// Options of a Replica.
type Options struct {
	// Dir is the data directory.
	Dir string
	// Name is the name of the host. A new replica replaces the member of the same
	// name and another ID, whose disk was lost.
	Name string
	// Address is the peer address of this replica.
	Address string
	// Voters is the maximum number of voters; 0 means that all members vote.
	// Further members remain learners and replace voters that fail.
	Voters int
	// Peers are the addresses of the stores that a join request is sent to, besides those that
	// the replica knows. RefreshPeers returns later ones; it may be nil.
	Peers        []string
	RefreshPeers func() []string
	// InitialVoters are the addresses of the initial voters when a whole new group
	// starts at once, the same on each replica; empty at any other start. An
	// initial voter on a blank disk bootstraps the group together with the others,
	// unless one of them knows a group already.
	InitialVoters []string
	// Tick is the unit of the election and heartbeat timeouts; 0 means 50 ms.
	Tick   time.Duration
	Client *peerhttp.Client
	Log    logr.Logger
	// wrapLog wraps the log file in tests, and firstWriteErr is the error of its
	// first write.
	wrapLog       func(recordLog) recordLog
	firstWriteErr error
}

// result is the outcome of a proposal or a read barrier.
type result struct {
	index    uint64
	response []byte
	err      error
}

// waiter is who waits for an entry of the log.
type waiter struct {
	term uint64
	// once is the command, if it is proposed once; nil otherwise.
	once []byte
	done []chan result
}

func (w waiter) end(res result) {
	for _, d := range w.done {
		d <- res
	}
}

// Replica is a running member of the group.
type Replica struct {
	options Options
	core    *raft.Core
	planner *votergroup.Planner
	storage *storage
	machine wheelgauge.StateMachine
	net     *network

	tasks    chan func()
	waiters  map[uint64]waiter
	barriers map[uint64]chan result
	nextRead uint64
	applied  *appliedIndex
	view     *statusView
	disk     diskState
	// leaderlessTicks is the number of ticks without a leader.
	leaderlessTicks int
	// aside is the path of the state that was set aside since the start, if any.
	aside string
	// fatal is an error because of which the replica must stop.
	fatal error

	cancel context.CancelFunc
	done   chan error
}

// Open starts a replica on the data directory. A replica with a blank directory
// that does not bootstrap a group joins one through the peers as a learner.
func Open(ctx context.Context, options Options, machine wheelgauge.StateMachine) (*Replica, error) {
	if options.Tick == 0 {
		options.Tick = 50 * time.Millisecond
	}
	s, state, blank, openErr := openStorageWithRetry(ctx, options)
	if s == nil {
		return nil, openErr
	}
	if openErr != nil && !wal.IsNoSpace(openErr) {
		return nil, errors.Join(openErr, s.log.Close())
	}
	if state.Snapshot != nil && !s.unverified {
		if err := machine.Restore(state.Snapshot.Data); err != nil {
			return nil, errors.Join(fmt.Errorf("restore state: %w", err), s.log.Close())
		}
	}
	if blank && slices.Contains(options.InitialVoters, options.Address) {
		if err := s.startFounding(options.InitialVoters); err != nil && !wal.IsNoSpace(err) {
			return nil, errors.Join(err, s.log.Close())
		} else if err != nil {
			openErr = err
		}
	}
	if options.wrapLog != nil {
		s.log, openErr = options.wrapLog(s.log), cmp.Or(openErr, options.firstWriteErr)
	}
	ctx, cancel := context.WithCancel(ctx)
	r := &Replica{
		options: options, storage: s, machine: machine,
		planner: votergroup.New(votergroup.Options{
			Voters: options.Voters, ReplaceVoterTicks: replaceVoterTicks, RemoveLearnerTicks: removeLearnerTicks, LeaveTicks: leaveTicks,
		}),
		tasks: make(chan func(), taskQueueLength), waiters: map[uint64]waiter{}, barriers: map[uint64]chan result{},
		applied: newAppliedIndex(), view: &statusView{}, cancel: cancel, done: make(chan error, 1),
	}
	r.core = raft.New(r.coreOptions(), state)
	r.net = newNetwork(ctx, options.Client, r.self())
	if openErr != nil {
		r.suspendWrites(openErr)
	}
	r.publish()
	r.logStart(blank, state)
	go func() {
		r.done <- r.run(ctx)
		close(r.done)
	}()
	return r, nil
}

func (r *Replica) coreOptions() raft.Options {
	s := r.storage
	return raft.Options{ID: s.self.ID, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, Seed: s.self.ID, Unverified: s.unverified}
}

func (r *Replica) self() raft.Member {
	return raft.Member{ID: r.storage.self.ID, Name: r.options.Name, Address: r.options.Address}
}

// Done returns a channel that delivers the error that stopped the replica; the
// store must stop with it.
func (r *Replica) Done() <-chan error { return r.done }

// Close stops the replica and waits until it has ended.
func (r *Replica) Close() error {
	r.cancel()
	err := <-r.done
	r.net.wait()
	return errors.Join(err, r.storage.log.Close())
}

func (r *Replica) run(ctx context.Context) error {
	ticker := time.NewTicker(r.options.Tick)
	defer ticker.Stop()
	join, found := newJoiner(r), newFounding(r)
	defer r.failPending()
	// Committed entries on disk are applied first, so that this replica knows
	// whether it is a member.
	if err := r.processReady(); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.core.Tick()
			r.tickLeaderless()
			r.retryDisk()
			r.maintainMembers()
			found.tick(ctx)
			join.tick(ctx)
		case f := <-r.tasks:
			f()
			r.runQueued()
		}
		if r.fatal == nil {
			r.fatal = r.processReady()
		}
		if r.fatal != nil {
			r.options.Log.Error(r.fatal, "Replica stops: its state cannot be persisted.")
			return r.fatal
		}
		r.publish()
	}
}

// runQueued runs further queued tasks, so that one sync covers them all.
func (r *Replica) runQueued() {
	for range maxBatchLength {
		select {
		case f := <-r.tasks:
			f()
		default:
			return
		}
	}
}

// failPending fails all pending proposals and read barriers.
func (r *Replica) failPending() {
	stopErr := wheelgauge.NewError(wheelgauge.ReasonNoLeader, wheelgauge.OutcomeUnknown, http.StatusServiceUnavailable, "the store is shutting down").WithRetryAfter(leaderRetryAfter)
	for _, w := range r.waiters {
		w.end(result{err: stopErr})
	}
	for _, b := range r.barriers {
		b <- result{err: stopErr}
	}
}

// processReady processes the core's Ready until it is empty.
func (r *Replica) processReady() error {
	for {
		if r.storage.unverified && !r.core.Unverified() {
			if err := r.confirmIdentity(); errors.Is(err, errState) {
				return err
			} else if err != nil {
				r.suspendWrites(err)
			}
		}
		rd := r.core.Ready()
		if rd.Empty() {
			return nil
		}
		if kept, err := r.tryPersist(rd); !kept {
			r.failReads(rd.DroppedReads, rd.ConfirmedReads)
			return err
		}
		r.net.send(r.core.Members(), rd.Messages)
		if len(rd.Committed) > 0 {
			r.publish() // who reads the new state finds the members that it was agreed on with
		}
		r.apply(rd.Committed)
		if err := r.core.Advance(rd); err != nil {
			return fmt.Errorf("advance: %w", err)
		}
		r.completeReads(rd.ConfirmedReads)
		r.failReads(rd.DroppedReads)
		if err := r.compact(); err != nil {
			return err
		}
	}
}

func (r *Replica) persist(rd raft.Ready) error {
	if rd.Snapshot == nil {
		return r.storage.save(rd.HardState, rd.Entries)
	}
	hard := r.core.HardState()
	if rd.HardState != nil {
		hard = *rd.HardState
	}
	if err := r.storage.rewrite(rd.Snapshot, hard, rd.Entries); err != nil {
		return err
	}
	if err := r.machine.Restore(rd.Snapshot.Data); err != nil {
		return stateError("restore snapshot", err)
	}
	r.applied.set(rd.Snapshot.Index)
	return nil
}

func (r *Replica) apply(entries []raft.Entry) {
	for _, e := range entries {
		var answer []byte
		if e.Type == raft.EntryCommand {
			answer = r.machine.Apply(e.Index, e.Data)
		}
		r.applied.set(e.Index)
		w, ok := r.waiters[e.Index]
		if !ok {
			continue
		}
		delete(r.waiters, e.Index)
		if w.term != e.Term {
			w.end(result{err: noLeaderError("another leader took over before the change was committed")})
			continue
		}
		w.end(result{index: e.Index, response: answer})
	}
}

func (r *Replica) completeReads(confirmed []uint64) {
	for _, id := range confirmed {
		r.barriers[id] <- result{index: r.core.Applied()}
		delete(r.barriers, id)
	}
}

// failReads fails read barriers that this replica can no longer confirm.
func (r *Replica) failReads(lists ...[]uint64) {
	for _, id := range slices.Concat(lists...) {
		r.barriers[id] <- result{err: noLeaderError("the leader changed")}
		delete(r.barriers, id)
	}
}

func (r *Replica) compact() error {
	entriesSince := r.core.Applied() - r.core.SnapshotIndex()
	large := r.storage.log.Size() > compactBytes && entriesSince >= minCompactEntries
	if entriesSince < compactEntries && !large {
		return nil
	}
	if r.disk.unwritable.Load() {
		return nil
	}
	data, err := r.machine.Snapshot()
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	snap := r.core.Compact(data, retainedEntries)
	hard := raft.HardState{Term: r.core.Term(), Vote: r.core.Vote(), Commit: r.core.Commit()}
	if err := r.storage.rewrite(snap, hard, r.core.Tail()); err != nil {
		r.suspendWrites(fmt.Errorf("compact: %w", err))
	}
	return nil
}

func noLeaderError(detail string) *wheelgauge.Error {
	return wheelgauge.NewError(wheelgauge.ReasonNoLeader, wheelgauge.OutcomeNotRun, http.StatusServiceUnavailable, detail).WithRetryAfter(leaderRetryAfter)
}
