// Package wal is a write-ahead log: an append-only file of checksummed records. A
// record is durable once Append has returned, as it syncs the file.
//
// Open truncates a torn tail, as a crash may leave it. Damage before intact
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
	magic             = "WGLOG001"
	recordHeaderBytes = 8
	maxRecordBytes    = 256 << 20
	fileMode          = 0o600
	tempSuffix        = ".new"
)

var (
	// ErrCorrupt is returned by Open when a damaged record precedes intact ones.
	ErrCorrupt = errors.New("wal: corrupt record before the end of the file")
	// ErrPoisoned is returned after a failed sync: the contents on disk are unknown
	// until a Rewrite succeeds.
	ErrPoisoned = errors.New("wal: an earlier write failed, rewrite or reopen the log")
	// ErrNoSpace is returned by Open when the disk has no space. The records are
	// complete, and the log is poisoned.
	ErrNoSpace = errors.New("wal: no space left on the disk")
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// file is the part of *os.File that Log needs; tests inject faults through it.
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

// IsNoSpace reports whether an error means a full disk or an exceeded disk quota.
func IsNoSpace(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// Open opens or creates the log at path and returns the records it holds. On a
// full disk it returns the log and the records together with ErrNoSpace.
func Open(path string) (*Log, [][]byte, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		l := &Log{path: path}
		return l.openResult(nil, l.Rewrite())
	}
	if err != nil {
		return nil, nil, fmt.Errorf("read log: %w", err)
	}
	records, validBytes, err := parse(data)
	if err != nil {
		return nil, nil, fmt.Errorf("parse %s: %w", path, err)
	}
	l := &Log{path: path}
	return l.openResult(records, l.openFile(validBytes))
}

// openResult returns the results of Open, given the error of the first write.
func (l *Log) openResult(records [][]byte, err error) (*Log, [][]byte, error) {
	switch {
	case err == nil:
		return l, records, nil
	case IsNoSpace(err):
		l.poisoned = true
		return l, records, fmt.Errorf("%w: %w", ErrNoSpace, err)
	}
	return nil, nil, fmt.Errorf("open log: %w", err)
}

func (l *Log) openFile(size int64) error {
	f, err := os.OpenFile(l.path, os.O_RDWR, fileMode)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	if err := f.Truncate(size); err != nil {
		return errors.Join(fmt.Errorf("truncate torn tail: %w", err), f.Close())
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

// parse returns the intact records and the offset at which they end.
func parse(data []byte) ([][]byte, int64, error) {
	if len(data) < len(magic) || string(data[:len(magic)]) != magic {
		return nil, 0, ErrCorrupt
	}
	var records [][]byte
	offset := len(magic)
	for offset < len(data) {
		payload, next, ok := decodeRecord(data, offset)
		if ok {
			records = append(records, payload)
			offset = next
			continue
		}
		if next < len(data) && !allZero(data[offset:]) || containsRecord(data, offset+1) {
			return nil, 0, ErrCorrupt
		}
		break
	}
	return records, int64(offset), nil
}

// decodeRecord reads the record at an offset; next is where it ends according to
// its length field.
func decodeRecord(data []byte, offset int) (payload []byte, next int, ok bool) {
	if len(data)-offset < recordHeaderBytes {
		return nil, len(data), false
	}
	size := int(binary.LittleEndian.Uint32(data[offset:]))
	checksum := binary.LittleEndian.Uint32(data[offset+4:])
	start := offset + recordHeaderBytes
	if size == 0 || size > len(data)-start {
		return nil, len(data), false
	}
	payload = data[start : start+size]
	return payload, start + size, crc32.Checksum(payload, crcTable) == checksum
}

// containsRecord reports whether an intact record begins at or after an offset.
// The damaged data before it is then not a torn tail, whatever its length field
// says.
func containsRecord(data []byte, from int) bool {
	for offset := from; offset < len(data); offset++ {
		if _, _, ok := decodeRecord(data, offset); ok {
			return true
		}
	}
	return false
}

func allZero(data []byte) bool {
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
		if len(r) == 0 || len(r) > maxRecordBytes {
			return nil, fmt.Errorf("wal: invalid record length of %d bytes", len(r))
		}
		buf = binary.LittleEndian.AppendUint32(buf, uint32(len(r)))
		buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(r, crcTable))
		buf = append(buf, r...)
	}
	return buf, nil
}

// Append writes records and syncs the file. A failed write, as on a full disk, is
// rolled back; a failed sync poisons the log.
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
		return errors.Join(fmt.Errorf("write log: %w", err), l.rollBack())
	}
	if err := l.file.Sync(); err != nil {
		l.poisoned = true
		return fmt.Errorf("sync log: %w", err)
	}
	l.size += int64(len(buf))
	return nil
}

func (l *Log) rollBack() error {
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

// Rewrite replaces all records atomically: after a crash the file holds either the
// old records or the new ones. It also makes a poisoned log usable again.
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
	tempPath := l.path + tempSuffix
	if err := writeSynced(tempPath, append([]byte(magic), buf...)); err != nil {
		return errors.Join(err, os.Remove(tempPath))
	}
	if err := os.Rename(tempPath, l.path); err != nil {
		return fmt.Errorf("rename log: %w", err)
	}
	oldFile := l.file
	if err := errors.Join(SyncDir(filepath.Dir(l.path)), l.openFile(int64(len(magic)+len(buf)))); err != nil {
		l.poisoned = true
		return err
	}
	l.poisoned = false
	if oldFile != nil {
		return oldFile.Close()
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

// WriteFile creates or replaces a file, and makes its contents and its name durable.
func WriteFile(path string, data []byte) error {
	if err := writeSynced(path, data); err != nil {
		return err
	}
	return SyncDir(filepath.Dir(path))
}

// MakeDir creates a directory and its missing parents. It syncs the parent of each that it
// creates: without that, a power failure may lose the directory with all files in it.
func MakeDir(path string, mode os.FileMode) error { return makeDir(path, mode, SyncDir) }

func makeDir(path string, mode os.FileMode, sync func(path string) error) error {
	err := os.Mkdir(path, mode)
	if errors.Is(err, os.ErrNotExist) {
		if err := makeDir(filepath.Dir(path), mode, sync); err != nil {
			return err
		}
		err = os.Mkdir(path, mode)
	}
	if err != nil && !errors.Is(err, os.ErrExist) {
		return fmt.Errorf("create directory: %w", err)
	}
	// One that exists may be from a start that ended before the sync.
	return sync(filepath.Dir(path))
}

// SyncDir makes the names of the files in a directory durable.
func SyncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("open directory: %w", err)
	}
	return errors.Join(d.Sync(), d.Close())
}

// Poisoned reports whether the log rejects records until it is rewritten.
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

// Close closes the log for good: later writes fail.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.poisoned, l.closed = true, true
	if l.file == nil {
		return nil
	}
	return l.file.Close()
}
