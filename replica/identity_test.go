package replica

import (
	"os"
	"path/filepath"
	"testing"

	"wheelgauge/diskid"
)

// A file system may give the marker of a copy the inode that the removed original had.
func TestStateRestoredIntoARemovedFolderIsUnverified(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "replica")
	s, _, _, err := openStorage(dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.log.Close(); err != nil {
		t.Fatal(err)
	}
	for range 5 {
		backup := copyOf(t, dir)
		if err := os.RemoveAll(dir); err != nil {
			t.Fatal(err)
		}
		if err := os.CopyFS(dir, os.DirFS(backup)); err != nil {
			t.Fatal(err)
		}
		s, _, _, err := openStorage(dir)
		if err != nil {
			t.Fatal(err)
		}
		if err := s.log.Close(); err != nil {
			t.Fatal(err)
		}
		if !s.unverified {
			t.Fatal("a restored state is taken for the one that the replica wrote last")
		}
	}
}

func TestRestartAndMoveOfAFolderKeepTheState(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "replica")
	for range 3 {
		s, _, _, err := openStorage(dir)
		if err != nil {
			t.Fatal(err)
		}
		if err := s.log.Close(); err != nil {
			t.Fatal(err)
		}
		if s.unverified {
			t.Fatal("the state is unverified on its own disk")
		}
		moved := dir + "-moved"
		if err := os.Rename(dir, moved); err != nil {
			t.Fatal(err)
		}
		if err := os.Chmod(filepath.Join(moved, diskid.MarkerName), 0o600); err != nil {
			t.Fatal(err)
		}
		dir = moved
	}
}
