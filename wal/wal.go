// Package wal is an append-only file of checksummed records. A record counts
// as written only when Append has returned, that is, once it is synced.
//
// A torn tail, as a crash leaves it, is cut at Open. Damage in front of other
// records is an error: such a file must not be trusted.
package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"sync"
	"syscall"
)

const (
	magic        = "WGLOG001"
	headerBytes  = 8
	maxRecord    = 256 << 20
	fileMode     = 0o600
	rewriteShape = ".new"
)

var (
	// ErrCorrupt is returned by Open when a damaged record stands before others.
	ErrCorrupt = errors.New("wal: corrupt record before the end of the file")
	// ErrPoisoned is returned after a failed sync: what is on disk is not known
	// until a Rewrite succeeds.
	ErrPoisoned = errors.New("wal: an earlier write failed, rewrite or reopen the log")
	// ErrFull is returned by Open when the disk takes no writes. The records are
	// whole, and the log is poisoned.
	ErrFull = errors.New("wal: the disk takes no writes")
)

var table = crc32.MakeTable(crc32.Castagnoli)

// file is the part of *os.File that Log needs; tests put faults behind it.
type file interface {
	io.Writer
	io.Closer
	Sync() error
	Truncate(size int64) error
	Seek(offset int64, whence int) (int64, error)
}

// Log is an open file of records. It is safe for concurrent use.
type Log struct {
	mu       sync.Mutex
	path     string
	file     file
	size     int64
	poisoned bool
	closed   bool
}

// Full tells whether an error says that a disk has no room.
func Full(err error) bool { return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) }

// Open opens or creates the log at path and returns the records it holds. On a
// disk without room it returns them with ErrFull.
func Open(path string) (*Log, [][]byte, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		l := &Log{path: path}
		return l.opened(nil, l.Rewrite())
	}
	if err != nil {
		return nil, nil, fmt.Errorf("read log: %w", err)
	}
	records, good, err := parse(data)
	if err != nil {
		return nil, nil, fmt.Errorf("parse %s: %w", path, err)
	}
	l := &Log{path: path}
	return l.opened(records, l.open(good))
}

// opened is what Open returns, by how the first write went.
func (l *Log) opened(records [][]byte, err error) (*Log, [][]byte, error) {
	switch {
	case err == nil:
		return l, records, nil
	case Full(err):
		l.poisoned = true
		return l, records, fmt.Errorf("%w: %w", ErrFull, err)
	}
	return nil, nil, fmt.Errorf("open log: %w", err)
}

func (l *Log) open(size int64) error {
	f, err := os.OpenFile(l.path, os.O_RDWR, fileMode)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	if err := f.Truncate(size); err != nil {
		return errors.Join(fmt.Errorf("cut torn tail: %w", err), f.Close())
	}
	if _, err := f.Seek(size, io.SeekStart); err != nil {
		return errors.Join(fmt.Errorf("seek log: %w", err), f.Close())
	}
	if err := f.Sync(); err != nil {
		return errors.Join(fmt.Errorf("sync log: %w", err), f.Close())
	}
	l.file, l.size = f, size
	return nil
}

// parse returns the whole records and the length of the part that holds them.
func parse(data []byte) ([][]byte, int64, error) {
	if len(data) < len(magic) || string(data[:len(magic)]) != magic {
		return nil, 0, ErrCorrupt
	}
	var records [][]byte
	at := len(magic)
	for at < len(data) {
		payload, next, ok := record(data, at)
		if ok {
			records = append(records, payload)
			at = next
			continue
		}
		if next < len(data) && !zero(data[at:]) || holdsRecord(data, at+1) {
			return nil, 0, ErrCorrupt
		}
		break
	}
	return records, int64(at), nil
}

// record reads one record; next is where it ends by its own length.
func record(data []byte, at int) (payload []byte, next int, ok bool) {
	if len(data)-at < headerBytes {
		return nil, len(data), false
	}
	size := int(binary.LittleEndian.Uint32(data[at:]))
	sum := binary.LittleEndian.Uint32(data[at+4:])
	start := at + headerBytes
	if size == 0 || size > len(data)-start {
		return nil, len(data), false
	}
	payload = data[start : start+size]
	return payload, start + size, crc32.Checksum(payload, table) == sum
}

// holdsRecord tells whether a whole record begins at an offset or after it: what
// stands before it is then no torn tail, whatever its length says.
func holdsRecord(data []byte, from int) bool {
	for at := from; at < len(data); at++ {
		if _, _, ok := record(data, at); ok {
			return true
		}
	}
	return false
}

func zero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}

func encode(records [][]byte) ([]byte, error) {
	var buf []byte
	for _, r := range records {
		if len(r) == 0 || len(r) > maxRecord {
			return nil, fmt.Errorf("wal: record of %d bytes", len(r))
		}
		buf = binary.LittleEndian.AppendUint32(buf, uint32(len(r)))
		buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(r, table))
		buf = append(buf, r...)
	}
	return buf, nil
}

// Append writes records and syncs them. A write that fails, as on a full disk,
// is taken back; a sync that fails poisons the log.
func (l *Log) Append(records ...[]byte) error {
	buf, err := encode(records)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.poisoned {
		return ErrPoisoned
	}
	if _, err := l.file.Write(buf); err != nil {
		return errors.Join(fmt.Errorf("write log: %w", err), l.takeBack())
	}
	if err := l.file.Sync(); err != nil {
		l.poisoned = true
		return fmt.Errorf("sync log: %w", err)
	}
	l.size += int64(len(buf))
	return nil
}

func (l *Log) takeBack() error {
	if err := l.file.Truncate(l.size); err != nil {
		l.poisoned = true
		return fmt.Errorf("take back a failed write: %w", err)
	}
	if _, err := l.file.Seek(l.size, io.SeekStart); err != nil {
		l.poisoned = true
		return fmt.Errorf("take back a failed write: %w", err)
	}
	return nil
}

// Rewrite replaces all records in one step: after a crash the file holds
// either the old records or the new ones. It makes a poisoned log good again.
func (l *Log) Rewrite(records ...[]byte) error {
	buf, err := encode(records)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return os.ErrClosed
	}
	temp := l.path + rewriteShape
	if err := writeSynced(temp, append([]byte(magic), buf...)); err != nil {
		return errors.Join(err, os.Remove(temp))
	}
	if err := os.Rename(temp, l.path); err != nil {
		return fmt.Errorf("rename log: %w", err)
	}
	old := l.file
	if err := errors.Join(syncFolder(filepath.Dir(l.path)), l.open(int64(len(magic)+len(buf)))); err != nil {
		l.poisoned = true
		return err
	}
	l.poisoned = false
	if old != nil {
		return old.Close()
	}
	return nil
}

func writeSynced(path string, data []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return fmt.Errorf("create new log: %w", err)
	}
	if _, err := f.Write(data); err != nil {
		return errors.Join(fmt.Errorf("write new log: %w", err), f.Close())
	}
	if err := f.Sync(); err != nil {
		return errors.Join(fmt.Errorf("sync new log: %w", err), f.Close())
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("close new log: %w", err)
	}
	return nil
}

func syncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("open folder: %w", err)
	}
	return errors.Join(d.Sync(), d.Close())
}

// Poisoned tells whether the log takes no records until it is rewritten.
func (l *Log) Poisoned() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.poisoned
}

// Size returns the length of the file in bytes.
func (l *Log) Size() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.size
}

// Close closes the file.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.poisoned, l.closed = true, true
	if l.file == nil {
		return nil
	}
	return l.file.Close()
}
