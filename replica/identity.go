package replica

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"wheelgauge/wal"
)

const markerName = "disk.marker"

// newID returns a random, nonzero replica ID.
func newID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails: crypto/rand crashes the process instead
	return binary.LittleEndian.Uint64(b[:])>>1 | 1
}

// diskID returns the inode of the marker file in dir, which it creates if it is not
// there. A copy or a restored backup of the folder has another inode, so its state
// may be older than what the replica has told others since.
func diskID(dir string) (uint64, error) {
	path := filepath.Join(dir, markerName)
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDONLY, 0o600)
	if err != nil {
		return 0, fmt.Errorf("open disk marker: %w", err)
	}
	info, err := f.Stat()
	if err := errors.Join(err, f.Sync(), f.Close(), wal.SyncDir(dir)); err != nil {
		return 0, fmt.Errorf("read disk marker: %w", err)
	}
	stat, ok := info.Sys().(*syscall.Stat_t)
	if !ok {
		return 0, errors.New("disk marker has no inode")
	}
	return stat.Ino, nil
}
