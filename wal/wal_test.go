package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

func joinRecords(records [][]byte) string {
	out := ""
	for _, r := range records {
		out += string(r) + ","
	}
	return out
}

func ExampleOpen() {
	dir, _ := os.MkdirTemp("", "wal-")
	defer os.RemoveAll(dir)
	path := filepath.Join(dir, "log")
	log, _, _ := Open(path)
	_ = log.Append([]byte("one"), []byte("two"))
	_ = log.Close()
	log, records, _ := Open(path)
	fmt.Println(joinRecords(records))
	_ = log.Close()
	// Output: one,two,
}

// TestOpenDamagedLog checks which records Open returns from a damaged file and
// that the log accepts new ones afterwards.
func TestOpenDamagedLog(t *testing.T) {
	const second = 8 + recordHeaderBytes + 3 // offset of the second record
	tests := []struct {
		name   string
		damage func(data []byte) []byte
		want   string
		err    error
	}{
		{"none", func(d []byte) []byte { return d }, "one,two,six,", nil},
		{"torn in the last payload", func(d []byte) []byte { return d[:len(d)-1] }, "one,two,", nil},
		{"torn in the last head", func(d []byte) []byte { return d[:len(d)-6] }, "one,two,", nil},
		{"a tail of zeros", func(d []byte) []byte { return append(d, make([]byte, 100)...) }, "one,two,six,", nil},
		{"last payload flipped", func(d []byte) []byte { d[len(d)-1] ^= 1; return d }, "one,two,", nil},
		{"middle payload flipped", func(d []byte) []byte { d[second+recordHeaderBytes] ^= 1; return d }, "", ErrCorrupt},
		{"middle checksum flipped", func(d []byte) []byte { d[second+4] ^= 1; return d }, "", ErrCorrupt},
		{"middle length made too long", func(d []byte) []byte { d[second+2] ^= 0xff; return d }, "", ErrCorrupt},
		{"middle length made nothing", func(d []byte) []byte { d[second] = 0; return d }, "", ErrCorrupt},
		{"last length made too long", func(d []byte) []byte { d[len(d)-9] ^= 0xff; return d }, "one,two,", nil},
		{"magic flipped", func(d []byte) []byte { d[0] ^= 1; return d }, "", ErrCorrupt},
		{"empty file", func([]byte) []byte { return nil }, "", ErrCorrupt},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "log")
			log, _, err := Open(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := errors.Join(log.Append([]byte("one"), []byte("two")), log.Append([]byte("six")), log.Close()); err != nil {
				t.Fatal(err)
			}
			data, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, tt.damage(data), 0o600); err != nil {
				t.Fatal(err)
			}
			log, records, err := Open(path)
			if !errors.Is(err, tt.err) || joinRecords(records) != tt.want {
				t.Fatalf("got records %q, error %v", joinRecords(records), err)
			}
			if err != nil {
				return
			}
			if err := errors.Join(log.Append([]byte("new")), log.Close()); err != nil {
				t.Fatal(err)
			}
			if _, records, err = Open(path); err != nil || joinRecords(records) != tt.want+"new," {
				t.Fatalf("after an append got records %q, error %v", joinRecords(records), err)
			}
		})
	}
}

// faultyFile injects short writes and failed syncs.
type faultyFile struct {
	file
	writeLimit int
	syncErr    error
}

var errDisk = errors.New("disk")

func (f *faultyFile) Write(p []byte) (int, error) {
	if f.writeLimit >= 0 && len(p) > f.writeLimit {
		n, _ := f.file.Write(p[:f.writeLimit])
		return n, errDisk
	}
	return f.file.Write(p)
}

func (f *faultyFile) Sync() error {
	if f.syncErr != nil {
		return f.syncErr
	}
	return f.file.Sync()
}

func TestDiskFaults(t *testing.T) {
	tests := []struct {
		name      string
		fault     faultyFile
		records   string // in the reopened log
		appendErr error  // of a later append
	}{
		{"full disk takes a part", faultyFile{writeLimit: 5}, "one,two,", nil},
		{"failed sync", faultyFile{writeLimit: -1, syncErr: errDisk}, "", ErrPoisoned},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "log")
			log, _, err := Open(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := log.Append([]byte("one")); err != nil {
				t.Fatal(err)
			}
			intact := log.file
			tt.fault.file = intact
			log.file = &tt.fault
			if err := log.Append([]byte("lost")); !errors.Is(err, errDisk) {
				t.Fatalf("got error %v from an append on a faulty disk, want the disk's error", err)
			}
			log.file = intact
			if err := log.Append([]byte("two")); !errors.Is(err, tt.appendErr) {
				t.Fatalf("got error %v from the append after the fault", err)
			}
			if err := log.Close(); err != nil || tt.records == "" {
				return
			}
			if _, records, err := Open(path); err != nil || joinRecords(records) != tt.records {
				t.Fatalf("got records %q, error %v", joinRecords(records), err)
			}
		})
	}
}

func TestRewrite(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	log, _, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 100 {
		if err := log.Append(fmt.Appendf(nil, "%d", i)); err != nil {
			t.Fatal(err)
		}
	}
	if err := errors.Join(log.Rewrite([]byte("all")), log.Append([]byte("next")), log.Close()); err != nil {
		t.Fatal(err)
	}
	// A temporary file left by a crash during a rewrite is ignored.
	if err := os.WriteFile(path+tempSuffix, []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, records, err := Open(path); err != nil || joinRecords(records) != "all,next," {
		t.Fatalf("got records %q, error %v", joinRecords(records), err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(magic))
	f.Add([]byte(magic + "\x03\x00\x00\x00abcdone"))
	f.Fuzz(func(t *testing.T, data []byte) {
		records, size, err := parse(data)
		if err != nil {
			return
		}
		reparsed, _, err := parse(data[:size])
		if err != nil || joinRecords(reparsed) != joinRecords(records) {
			t.Fatalf("the valid part parses to other records, error %v", err)
		}
	})
}

// A power failure loses no directory that was made, so each parent is synced, also at a later start.
func TestMakeDirSyncsParents(t *testing.T) {
	root := t.TempDir()
	path := filepath.Join(root, "a", "b")
	for _, want := range [][]string{{root, filepath.Join(root, "a")}, {filepath.Join(root, "a")}} {
		var synced []string
		err := makeDir(path, 0o700, func(p string) error {
			synced = append(synced, p)
			return nil
		})
		if err != nil || !slices.Equal(synced, want) {
			t.Errorf("got synced %v, error %v, want %v", synced, err, want)
		}
		if info, err := os.Stat(path); err != nil || !info.IsDir() {
			t.Errorf("%s is no directory: %v", path, err)
		}
	}
	if err := MakeDir(filepath.Join(root, "c"), 0o700); err != nil {
		t.Error(err)
	}
}
