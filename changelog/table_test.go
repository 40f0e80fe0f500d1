package changelog

import (
	"fmt"
	"testing"

	"wheelgauge"
)

func ExampleTable_Since() {
	t := New()
	t.Apply([]wheelgauge.TableRow{{Key: "a", Value: []byte("1")}, {Key: "b", Value: []byte("1")}})
	held := wheelgauge.HeldTable{Digest: t.Digest()}
	t.Apply([]wheelgauge.TableRow{{Key: "b"}, {Key: "c", Value: []byte("2")}})
	for _, row := range t.Since(held, 1000, true).Rows {
		fmt.Printf("%s=%s\n", row.Key, row.Value)
	}
	// Output:
	// b=
	// c=2
}

// The log is bounded by steps and by bytes; the last step always stays.
func TestLogIsBounded(t *testing.T) {
	tests := []struct {
		name  string
		steps int
		bytes int // of each step's row
		want  int
	}{
		{"many steps", maxSteps + 10, 10, maxSteps},
		{"large steps", 10, maxLogBytes / 4, 3},
		{"a step larger than the log", 2, maxLogBytes + 1, 1},
	}
	for _, tt := range tests {
		table := New()
		value := make([]byte, tt.bytes)
		for i := range tt.steps {
			table.Apply([]wheelgauge.TableRow{{Key: fmt.Sprint(i), Value: value}})
		}
		if len(table.log) != tt.want || table.Len() != tt.steps {
			t.Errorf("%s: %d steps are kept of a table with %d rows, want %d of %d", tt.name, len(table.log), table.Len(), tt.want, tt.steps)
		}
	}
}

func TestUnchangedRowsAreNoStep(t *testing.T) {
	table := New()
	row := wheelgauge.TableRow{Key: "a", Value: []byte("1")}
	table.Apply([]wheelgauge.TableRow{row})
	before := table.Digest()
	table.Apply([]wheelgauge.TableRow{row, {Key: "b"}})
	if len(table.log) != 1 || table.Digest() != before || table.Len() != 1 {
		t.Errorf("got %d steps, %d rows after rows that change nothing, want 1, 1", len(table.log), table.Len())
	}
}
