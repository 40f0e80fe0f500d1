package replica

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"wheelgauge/raft"
	"wheelgauge/wal"
)

const (
	// asidePrefix begins the names of files with a state that was set aside; a number follows.
	asidePrefix = logName + ".aside-"
	// maxAside is the number of such files that are kept.
	maxAside = 3
)

// startBlank gives a replica without a state an identity.
func (s *storage) startBlank(id uint64) error {
	s.self, s.unverified, s.successor, s.needsRewrite = identity{ID: id, diskID: s.disk}, false, 0, true
	return s.rewrite(nil, raft.HardState{}, nil)
}

// confirm makes the state on this disk that of the replica.
func (s *storage) confirm() error {
	s.unverified, s.successor = false, 0
	s.self.diskID = s.disk
	if err := s.saveIdentity(); err != nil {
		s.needsRewrite = true
		return err
	}
	return nil
}

func (s *storage) saveIdentity() error {
	data, err := encode([]record{{Identity: &s.self}})
	if err != nil {
		return err
	}
	if err := s.log.Append(data...); err != nil {
		return fmt.Errorf("save identity: %w", err)
	}
	return nil
}

// setAside renames the file with the state and starts a blank one under the ID of the successor. It
// returns the new path of the state.
func (s *storage) setAside(wrap func(recordLog) recordLog) (string, error) {
	if err := s.log.Close(); err != nil {
		return "", fmt.Errorf("close replica log: %w", err)
	}
	aside, err := nextAside(s.dir, "")
	if err != nil {
		return "", err
	}
	path := filepath.Join(s.dir, logName)
	if err := os.Rename(path, aside); err != nil {
		return "", fmt.Errorf("set state aside: %w", err)
	}
	log, _, openErr := wal.Open(path) // syncs the folder, too
	if log == nil {
		return aside, fmt.Errorf("open replica log: %w", openErr)
	}
	s.log = log
	if wrap != nil {
		s.log = wrap(log)
	}
	return aside, errors.Join(openErr, s.startBlank(s.successor))
}

// nextAside returns the path of the next state to set aside, and removes the oldest beyond maxAside
// other than the file kept.
func nextAside(dir, kept string) (string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return "", fmt.Errorf("list states set aside: %w", err)
	}
	var numbers []int
	for _, e := range entries {
		text, ok := strings.CutPrefix(e.Name(), asidePrefix)
		if n, err := strconv.Atoi(text); ok && err == nil {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	next := 1
	for i, n := range numbers {
		next = n + 1
		if path := asidePath(dir, n); i <= len(numbers)-maxAside && !sameFile(path, kept) {
			if err := os.Remove(path); err != nil {
				return "", fmt.Errorf("remove oldest state set aside: %w", err)
			}
		}
	}
	return asidePath(dir, next), nil
}

func sameFile(a, b string) bool {
	infoA, errA := os.Stat(a)
	infoB, errB := os.Stat(b)
	return errA == nil && errB == nil && os.SameFile(infoA, infoB)
}

func asidePath(dir string, number int) string {
	return filepath.Join(dir, asidePrefix+strconv.Itoa(number))
}

// confirmIdentity continues under the identity on the disk once a leader has verified the state.
func (r *Replica) confirmIdentity() error {
	if snap := r.core.Snapshot(); snap != nil {
		if err := r.machine.Restore(snap.Data); err != nil {
			return stateError("restore state", err)
		}
	}
	err := r.storage.confirm()
	r.options.Log.Info("State on a copied disk is verified.", "id", r.storage.self.ID, "term", r.core.Term(), "leader", r.core.Leader(), "commit", r.core.Commit())
	return err
}

// becomeSuccessor makes an unverified replica the new member that the group has taken in its place.
func (r *Replica) becomeSuccessor() error {
	if !r.storage.unverified || !r.core.Unverified() {
		return nil // verified meanwhile
	}
	found := r.storage.self.ID
	index, term := r.core.LastEntry()
	aside, err := r.storage.setAside(r.options.wrapLog)
	if err != nil && !wal.IsNoSpace(err) {
		return err
	}
	r.aside = aside
	r.core = raft.New(r.coreOptions(), raft.State{})
	r.applied.reset()
	r.net.setSelf(r.self())
	r.options.Log.Info("The group works without this store's copied state, which is set aside: joined as a new member.",
		"id", r.storage.self.ID, "found_id", found, "last_index", index, "last_term", term, "path", aside)
	if err != nil {
		r.suspendWrites(err)
	}
	return nil
}
