package replica

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"wheelgauge"
	"wheelgauge/raft"
	"wheelgauge/wal"
)

// diskRetryInterval is how often a disk that takes no writes is tried again: a full disk
// costs one failed write each time, and the group misses the replica that long
// after there is room.
const diskRetryInterval = 200 * time.Millisecond

// diskState tells whether the disk takes writes. While it takes none, the replica
// stays a reader of the group, which decides without it.
type diskState struct {
	// refuses is read outside the run loop.
	unwritable  atomic.Bool
	lastAttempt time.Time
}

// openStorageWithRetry opens the storage. While a blank disk has no room for its folder,
// nothing can be known of who this replica is, and it waits.
func openStorageWithRetry(ctx context.Context, o Options) (*storage, raft.State, bool, error) {
	for {
		s, state, blank, err := openStorage(o.Dir)
		if s != nil || !wal.IsNoSpace(err) {
			return s, state, blank, err
		}
		o.Log.Error(err, "Replica waits for its disk.")
		select {
		case <-ctx.Done():
			return nil, state, false, err
		case <-time.After(diskRetryInterval):
		}
	}
}

// Refuses tells whether the replica's disk takes no writes now.
func (r *Replica) Refuses() bool { return r.disk.unwritable.Load() }

// suspendWrites goes on without the disk: the core takes no part in decisions, and who
// waits for one is sent elsewhere.
func (r *Replica) suspendWrites(cause error) {
	r.core.SuspendWrites()
	r.disk.lastAttempt = time.Now()
	if !r.disk.unwritable.Swap(true) {
		r.options.Log.Error(cause, "Disk takes no writes: replica takes no part in decisions.", "term", r.core.Term(), "commit", r.core.Commit())
	}
	err := diskUnwritableError().WithOutcome(wheelgauge.OutcomeUnknown)
	for index, w := range r.waiters {
		delete(r.waiters, index)
		w.done <- result{err: err}
	}
}

func diskUnwritableError() *wheelgauge.Error {
	return wheelgauge.NewError(wheelgauge.ReasonNoLeader, wheelgauge.OutcomeNotRun, http.StatusServiceUnavailable,
		"the disk of this store takes no writes: ask another store").WithRetryAfter(leaderRetryAfter)
}

// retryDisk tries a disk that took no writes again.
func (r *Replica) retryDisk() {
	if !r.disk.unwritable.Load() || time.Since(r.disk.lastAttempt) < diskRetryInterval {
		return
	}
	r.disk.lastAttempt = time.Now()
	if err := r.storage.repair(r.core.Snapshot(), r.core.HardState(), r.core.Tail()); err != nil {
		return // told when it began
	}
	r.core.ResumeWrites()
	r.disk.unwritable.Store(false)
	r.options.Log.Info("Disk takes writes again.", "term", r.core.Term(), "commit", r.core.Commit())
}

// tryPersist persists what a Ready asks for; false means that nothing of the Ready may
// be carried out now.
func (r *Replica) tryPersist(rd raft.Ready) (bool, error) {
	if r.disk.unwritable.Load() {
		return !r.core.MustSync(rd), nil
	}
	err := r.persist(rd)
	if err == nil {
		return true, nil
	}
	if errors.Is(err, errState) {
		return false, err
	}
	r.suspendWrites(err)
	return false, nil
}

// errState marks errors of the state itself rather than of the disk.
var errState = errors.New("state")

func stateError(what string, err error) error { return fmt.Errorf("%s: %w: %w", what, errState, err) }
