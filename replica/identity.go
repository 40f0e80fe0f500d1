package replica

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"

	"wheelgauge/wal"
)

const markerName = "disk.marker"

// newID returns a random, nonzero replica ID.
func newID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails: crypto/rand crashes the process instead
	return binary.LittleEndian.Uint64(b[:])>>1 | 1
}

// diskID identifies the disk that a state was written on, by the marker file.
type diskID struct {
	Inode uint64 `json:"disk"`
	// Created is the time at which the marker was created, in nanoseconds, as inodes of removed files
	// are used again; 0 if the file system does not tell.
	Created int64 `json:"disk_created,omitempty"`
}

// readDiskID identifies the disk of dir by the marker file, which it creates if it is not there. A
// copy or a restored backup of the folder has another one, so its state may be older than what the
// replica has told others since.
func readDiskID(dir string) (diskID, error) {
	path := filepath.Join(dir, markerName)
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDONLY, 0o600)
	if err != nil {
		return diskID{}, fmt.Errorf("open disk marker: %w", err)
	}
	id, err := statDiskID(int(f.Fd()))
	if err := errors.Join(err, f.Sync(), f.Close(), wal.SyncDir(dir)); err != nil {
		return diskID{}, fmt.Errorf("read disk marker: %w", err)
	}
	return id, nil
}

// statDiskID returns the inode and, where the kernel and the file system tell it, the time of creation.
func statDiskID(fd int) (diskID, error) {
	var extended unix.Statx_t
	if err := unix.Statx(fd, "", unix.AT_EMPTY_PATH, unix.STATX_INO|unix.STATX_BTIME, &extended); err == nil {
		id := diskID{Inode: extended.Ino}
		if extended.Mask&unix.STATX_BTIME != 0 {
			id.Created = extended.Btime.Sec*int64(time.Second) + int64(extended.Btime.Nsec)
		}
		return id, nil
	}
	var stat unix.Stat_t
	if err := unix.Fstat(fd, &stat); err != nil {
		return diskID{}, fmt.Errorf("stat disk marker: %w", err)
	}
	return diskID{Inode: stat.Ino}, nil
}

// matches reports whether a state was written on this disk. A state without the time of creation is
// known by the inode alone.
func (d diskID) matches(found diskID) bool {
	return d.Inode == found.Inode && (d.Created == found.Created || d.Created == 0 || found.Created == 0)
}
