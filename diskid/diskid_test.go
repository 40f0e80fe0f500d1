package diskid

import (
	"os"
	"path/filepath"
	"testing"
)

func TestMatches(t *testing.T) {
	disk := ID{Inode: 7, Created: 100}
	tests := []struct {
		name  string
		found ID
		want  bool
	}{
		{"the same", disk, true},
		{"another inode", ID{Inode: 8, Created: 100}, false},
		{"an inode that is used again", ID{Inode: 7, Created: 101}, false},
		{"no time of creation", ID{Inode: 7}, true},
		{"another inode without the time", ID{Inode: 8}, false},
		{"nothing", ID{}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := disk.Matches(tt.found); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestFolderKeepsItsID(t *testing.T) {
	dir := t.TempDir()
	first, err := Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	if second, err := Read(dir); err != nil || second != first || first.Inode == 0 {
		t.Errorf("got %+v, %v, want %+v", second, err, first)
	}
}

func TestTimeOfCreationIsUnknownWhereTheSystemDoesNotTell(t *testing.T) {
	f, err := os.Create(filepath.Join(t.TempDir(), MarkerName))
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Close(); err != nil { // the call fails on it
		t.Fatal(err)
	}
	if got := createdAt(f); got != 0 {
		t.Errorf("got %d, want 0", got)
	}
}
