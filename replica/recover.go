package replica

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"wheelgauge/raft"
	"wheelgauge/wal"
)

// recoveredTermGap is by how much the term of a recovered group is above that of the old one, so
// that members of the old one that come back follow it.
const recoveredTermGap = 1 << 30

// recoveredIndexGap is by how much the log of a recovered group begins after that of the old one: a
// member of that one may have committed entries that are lost, and takes a snapshot instead of
// comparing its log.
const recoveredIndexGap = 1 << 30

// Recover makes the state in dir that of a new group whose only member is this replica, for when a
// majority of the voters is lost for good. With a file, the state that it holds is used, and the
// one in dir is set aside. All entries of the log are kept, also those that may not have been
// committed. The replica must not be running; the others join the new group by themselves.
func Recover(dir, file, name, address string) error {
	if file != "" {
		if err := replaceState(dir, file); err != nil {
			return err
		}
	}
	if _, err := os.Stat(filepath.Join(dir, logName)); err != nil {
		return fmt.Errorf("recover: %w", err)
	}
	s, state, _, err := openStorage(dir)
	if s == nil {
		return fmt.Errorf("recover: %w", err)
	}
	if err != nil {
		return errors.Join(fmt.Errorf("recover: %w", err), s.log.Close())
	}
	return errors.Join(s.recoverGroup(state, name, address), s.log.Close())
}

// replaceState sets the state in dir aside and puts that of a file in its place.
func replaceState(dir, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read state: %w", err)
	}
	path := filepath.Join(dir, logName)
	if _, err := os.Stat(path); err == nil {
		aside, err := nextAside(dir, file)
		if err != nil {
			return err
		}
		if err := os.Rename(path, aside); err != nil {
			return fmt.Errorf("set state aside: %w", err)
		}
	}
	return wal.WriteFile(path, data)
}

// recoverGroup adds a list of members to the log that has this replica only, and counts all of the
// log as committed.
func (s *storage) recoverGroup(state raft.State, name, address string) error {
	if state.Snapshot == nil {
		return errors.New("recover: there is no state that could be recovered")
	}
	s.self, s.needsRewrite = identity{ID: newID(), diskID: s.disk}, true
	term := state.HardState.Term + recoveredTermGap
	snap := *state.Snapshot
	snap.Index, snap.Term = snap.Index+recoveredIndexGap, term
	last := snap.Index
	for i := range state.Entries {
		e := &state.Entries[i]
		e.Index, e.Term = e.Index+recoveredIndexGap, term
		last = e.Index
	}
	data, err := json.Marshal([]raft.Member{{ID: s.self.ID, Name: name, Address: address, Voter: true}})
	if err != nil {
		return fmt.Errorf("encode members: %w", err)
	}
	entries := append(state.Entries, raft.Entry{Index: last + 1, Term: term, Type: raft.EntryMembers, Data: data})
	return s.rewrite(&snap, raft.HardState{Term: term, Commit: last + 1}, entries)
}
