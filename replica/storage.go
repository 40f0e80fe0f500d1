package replica

import (
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"

	"wheelgauge/diskid"
	"wheelgauge/raft"
	"wheelgauge/wal"
)

const (
	logName = "raft.log"
	dirMode = 0o700
	// initialIndex is the last index of the log of a new group.
	initialIndex = 1
)

type diskID = diskid.ID

// identity is the ID of this replica and the disk that its state was written on.
type identity struct {
	ID uint64 `json:"id"`
	diskID
	// Founders are the initial voters with which the replica may found a group, until it has done so
	// or has found one.
	Founders []string `json:"founders,omitempty"`
}

// record is one record of the log on disk; exactly one field is set.
type record struct {
	Identity  *identity       `json:"identity,omitempty"`
	HardState *raft.HardState `json:"hard,omitempty"`
	Snapshot  *raft.Snapshot  `json:"snapshot,omitempty"`
	Entry     *raft.Entry     `json:"entry,omitempty"`
	// Batch holds all records of one sync as one record: a torn write then damages
	// only the last record, which is truncated at the next start.
	Batch []record `json:"batch,omitempty"`
}

// recordLog is the part of *wal.Log that a replica needs; tests inject faults
// through it.
type recordLog interface {
	Append(records ...[]byte) error
	Rewrite(records ...[]byte) error
	Poisoned() bool
	Size() int64
	Close() error
}

// storage persists a replica's state in one file.
type storage struct {
	log  recordLog
	self identity
	// found is the identity that was on the disk, zero if there was none.
	found identity
	dir   string
	disk  diskID
	// unverified is set while the state may be an old copy: it was written on another disk.
	unverified bool
	// successor is the ID under which an unverified replica joins a group that works without it. It is
	// not persisted: copies of one disk would join under the same ID, each without a state.
	successor uint64
	// needsRewrite is set while the file lacks its first records, such as a new
	// identity.
	needsRewrite bool
}

// openStorage reads the state in dir and reports whether it is blank. A new
// directory gets a new identity. The state of one that was copied or restored from
// a backup is unverified. On a full disk it returns both the storage and an error
// that satisfies wal.IsNoSpace.
func openStorage(dir string) (*storage, raft.State, bool, error) {
	if err := wal.MakeDir(dir, dirMode); err != nil {
		return nil, raft.State{}, false, fmt.Errorf("create data directory: %w", err)
	}
	disk, err := diskid.Read(dir)
	if err != nil {
		return nil, raft.State{}, false, err
	}
	log, records, openErr := wal.Open(filepath.Join(dir, logName))
	if log == nil {
		return nil, raft.State{}, false, fmt.Errorf("open replica log: %w", openErr)
	}
	s := &storage{log: log, dir: dir, disk: disk}
	state, err := s.replay(records)
	if err != nil {
		return nil, state, false, errors.Join(err, log.Close())
	}
	s.found = s.self
	if s.self.ID == 0 {
		return s, raft.State{}, true, s.startBlank(newID())
	}
	if !disk.Matches(s.self.diskID) {
		s.unverified, s.successor = true, newID()
	} else {
		s.self.diskID = disk // an earlier release knew the inode only
	}
	return s, state, false, openErr
}

// repair makes a storage writable again after a failed write. snap, hard and tail
// are its expected contents: they are rewritten if the contents of the file are
// unknown or incomplete.
func (s *storage) repair(snap *raft.Snapshot, hard raft.HardState, tail []raft.Entry) error {
	if s.log.Poisoned() || s.needsRewrite {
		return s.rewrite(snap, hard, tail)
	}
	return s.save(&hard, nil)
}

func (s *storage) replay(records [][]byte) (raft.State, error) {
	var state raft.State
	for _, data := range records {
		var r record
		if err := json.Unmarshal(data, &r); err != nil {
			return state, fmt.Errorf("decode replica log: %w", err)
		}
		s.applyRecord(&state, &r)
		for i := range r.Batch {
			s.applyRecord(&state, &r.Batch[i])
		}
	}
	return state, nil
}

func (s *storage) applyRecord(state *raft.State, r *record) {
	switch {
	case r.Identity != nil:
		s.self = *r.Identity
	case r.HardState != nil:
		state.HardState = *r.HardState
	case r.Snapshot != nil:
		state.Snapshot = r.Snapshot
		state.Entries = nil
	case r.Entry != nil:
		state.Entries = truncateFrom(state.Entries, r.Entry.Index)
		state.Entries = append(state.Entries, *r.Entry)
	}
}

func truncateFrom(entries []raft.Entry, from uint64) []raft.Entry {
	for len(entries) > 0 && entries[len(entries)-1].Index >= from {
		entries = entries[:len(entries)-1]
	}
	return entries
}

func encode(records []record) ([][]byte, error) {
	out := make([][]byte, len(records))
	for i := range records {
		data, err := json.Marshal(&records[i])
		if err != nil {
			return nil, fmt.Errorf("encode replica log: %w", err)
		}
		out[i] = data
	}
	return out, nil
}

func entryRecords(entries []raft.Entry) []record {
	out := make([]record, len(entries))
	for i := range entries {
		out[i].Entry = &entries[i]
	}
	return out
}

// save appends a hard state and entries with one sync.
func (s *storage) save(hard *raft.HardState, entries []raft.Entry) error {
	records := entryRecords(entries)
	if hard != nil {
		records = append(records, record{HardState: hard})
	}
	if len(records) == 0 {
		return nil
	}
	data, err := encode([]record{{Batch: records}})
	if err != nil {
		return err
	}
	return s.log.Append(data...)
}

// rewrite replaces the file by the identity, a snapshot, the hard state and the
// entries that follow.
func (s *storage) rewrite(snap *raft.Snapshot, hard raft.HardState, entries []raft.Entry) error {
	records := []record{{Identity: &s.self}}
	if snap != nil {
		records = append(records, record{Snapshot: snap})
	}
	records = append(records, record{HardState: &hard})
	records = append(records, entryRecords(entries)...)
	data, err := encode(records)
	if err != nil {
		return err
	}
	if err := s.log.Rewrite(data...); err != nil {
		return fmt.Errorf("rewrite replica log: %w", err)
	}
	s.needsRewrite = false
	return nil
}

// Bootstrap creates a new group whose only replica is in dir. It fails if dir
// holds a replica already. A running store never calls it: with a blank disk it
// joins a group instead.
func Bootstrap(dir, name, address string) error {
	s, state, blank, err := openStorage(dir)
	if s == nil {
		return err
	}
	if err != nil {
		return errors.Join(err, s.log.Close())
	}
	if !blank || state.Snapshot != nil {
		return errors.Join(fmt.Errorf("%s already holds a replica", dir), s.log.Close())
	}
	members := []raft.Member{{ID: s.self.ID, Name: name, Address: address, Voter: true}}
	_, err = s.bootstrap(members)
	return errors.Join(err, s.log.Close())
}

// bootstrap writes the initial state of a new group.
func (s *storage) bootstrap(members []raft.Member) (raft.State, error) {
	state := raft.State{
		Snapshot:  &raft.Snapshot{Index: initialIndex, Term: 1, Members: members, Data: json.RawMessage(`{}`)},
		HardState: raft.HardState{Term: 1, Commit: initialIndex},
	}
	s.needsRewrite = true
	return state, s.rewrite(state.Snapshot, state.HardState, nil)
}
