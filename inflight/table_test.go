package inflight

import "testing"

// TestSnapshot checks that a load report is corrected by requests started and ended since.
func TestSnapshot(t *testing.T) {
	var table Table
	table.Start("s")
	steps := []struct {
		name     string
		start    int
		end      int
		reported int
		number   uint64
		want     int
	}{
		{"report comes", 0, 0, 5, 1, 5},
		{"two more go", 2, 0, 5, 1, 7},
		{"one comes back", 0, 1, 5, 1, 6},
		{"a new report", 0, 0, 6, 2, 6},
		{"more come back than it knew", 0, 2, 1, 2, 0},
	}
	for _, s := range steps {
		for range s.start {
			table.Start("s")
		}
		for range s.end {
			table.End("s", 0)
		}
		if got := table.Snapshot("s", s.reported, s.number).Load; got != s.want {
			t.Fatalf("%s: got load %d, want %d", s.name, got, s.want)
		}
	}
}
