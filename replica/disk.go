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

// diskRetryInterval is the time between write attempts on a disk that is not
// writable: each attempt costs one failed write, and the group lacks the replica
// for up to this long after space is free again.
const diskRetryInterval = 200 * time.Millisecond

// diskState records whether the disk is writable. While it is not, the replica
// follows the group but takes no part in elections and commits.
type diskState struct {
	// unwritable is also read outside the run loop.
	unwritable  atomic.Bool
	lastAttempt time.Time
}

// openStorageWithRetry opens the storage. It retries while a full disk has no
// space for the data folder or the disk marker, as the replica's identity is
// unknown until then.
func openStorageWithRetry(ctx context.Context, o Options) (*storage, raft.State, bool, error) {
	for {
		s, state, blank, err := openStorage(o.Dir)
		if s != nil || !wal.IsNoSpace(err) {
			return s, state, blank, err
		}
		o.Log.Error(err, "Replica waits for disk space.")
		select {
		case <-ctx.Done():
			return nil, state, false, err
		case <-time.After(diskRetryInterval):
		}
	}
}

// DiskUnwritable reports whether the replica's disk is currently not writable.
func (r *Replica) DiskUnwritable() bool { return r.disk.unwritable.Load() }

// suspendWrites continues without the disk: the core takes no part in elections
// and commits, and pending proposals fail with an error that refers callers to
// another store.
func (r *Replica) suspendWrites(cause error) {
	r.core.SuspendWrites()
	r.disk.lastAttempt = time.Now()
	if !r.disk.unwritable.Swap(true) {
		r.options.Log.Error(cause, "Disk takes no writes: replica takes no part in decisions.", "term", r.core.Term(), "commit", r.core.Commit())
	}
	err := diskUnwritableError().WithOutcome(wheelgauge.OutcomeUnknown)
	for index, w := range r.waiters {
		delete(r.waiters, index)
		w.end(result{err: err})
	}
}

func diskUnwritableError() *wheelgauge.Error {
	return wheelgauge.NewError(wheelgauge.ReasonNoLeader, wheelgauge.OutcomeNotRun, http.StatusServiceUnavailable,
		"the disk of this store is not writable: use another store").WithRetryAfter(leaderRetryAfter)
}

// retryDisk tries to write to an unwritable disk at each diskRetryInterval.
func (r *Replica) retryDisk() {
	if !r.disk.unwritable.Load() || time.Since(r.disk.lastAttempt) < diskRetryInterval {
		return
	}
	r.disk.lastAttempt = time.Now()
	if err := r.storage.repair(r.core.Snapshot(), r.core.HardState(), r.core.Tail()); err != nil {
		return // logged when the disk became unwritable
	}
	r.core.ResumeWrites()
	r.disk.unwritable.Store(false)
	r.options.Log.Info("Disk takes writes again.", "term", r.core.Term(), "commit", r.core.Commit())
}

// tryPersist persists a Ready. It returns false if the Ready must not be
// processed further.
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

// errState marks errors of the state machine as opposed to the disk.
var errState = errors.New("state")

func stateError(what string, err error) error { return fmt.Errorf("%s: %w: %w", what, errState, err) }
