package replica

import (
	"os"
	"path/filepath"
	"testing"
)

// openUnverified opens the state in dir, which another disk has written, and returns the ID under
// which it would join.
func openUnverified(t *testing.T, dir string) (*storage, uint64) {
	t.Helper()
	s, _, _, err := openStorage(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.log.Close() })
	if !s.unverified || s.successor == 0 {
		t.Fatalf("got unverified %v, successor %d", s.unverified, s.successor)
	}
	return s, s.successor
}

// A copy that is copied, or set aside and put back, must not start blank under an ID that has voted.
func TestNoTwoStartsOfACopyJoinUnderOneID(t *testing.T) {
	dir := t.TempDir()
	s, _, _, err := openStorage(dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.log.Close(); err != nil {
		t.Fatal(err)
	}
	first, used := openUnverified(t, copyOf(t, dir))
	if _, next := openUnverified(t, copyOf(t, first.dir)); next == used {
		t.Errorf("the copy of an unverified copy joins under its ID %d as well", used)
	}
	aside, err := first.setAside(nil)
	if err != nil {
		t.Fatal(err)
	}
	if first.self.ID != used {
		t.Fatalf("got ID %d after the state was set aside, want %d", first.self.ID, used)
	}
	if err := os.Rename(aside, filepath.Join(first.dir, logName)); err != nil {
		t.Fatal(err)
	}
	if _, next := openUnverified(t, first.dir); next == used {
		t.Errorf("a state that was set aside and put back joins under the ID %d that its store had since", used)
	}
}
