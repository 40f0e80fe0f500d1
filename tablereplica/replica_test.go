package tablereplica

import (
	"testing"

	"wheelgauge"
	"wheelgauge/tabledigest"
)

func row(key, value string) wheelgauge.TableRow {
	return wheelgauge.TableRow{Key: key, Value: []byte(value)}
}

func digestOf(rows ...wheelgauge.TableRow) uint64 {
	var d tabledigest.Digest
	for _, r := range rows {
		d.Add(tabledigest.Bucket(r.Key), tabledigest.Row(r.Key, r.Value))
	}
	return d.Sum()
}

// Rows of a response that does not fit are passed on or not, but never hide that the table differs.
func TestResponsesThatDoNotFit(t *testing.T) {
	a, b := row("a", "1"), row("b", "1")
	both := digestOf(a, b)
	tests := []struct {
		name    string
		change  wheelgauge.TableChanges
		rows    int
		failed  bool
		compare bool
	}{
		{"the step that follows", wheelgauge.TableChanges{Digest: both, After: both, Rows: []wheelgauge.TableRow{b}}, 1, false, false},
		{"a damaged row", wheelgauge.TableChanges{Digest: both, After: both, Rows: []wheelgauge.TableRow{row("b", "2")}}, 1, true, true},
		{"the rest of a step that was not begun", wheelgauge.TableChanges{Digest: both, After: both, Offset: 3, Rows: []wheelgauge.TableRow{b}}, 0, true, false},
		{"an unknown digest", wheelgauge.TableChanges{Digest: both, Unknown: true}, 0, false, true},
		{"nothing", wheelgauge.TableChanges{Digest: both}, 0, false, false},
		{"a bucket that does not exist", wheelgauge.TableChanges{Digest: both, Buckets: []int{-1, tabledigest.Buckets}, Rows: []wheelgauge.TableRow{b}}, 1, false, false},
	}
	for _, tt := range tests {
		r := New("t", a)
		rows, err := r.Apply(tt.change)
		if len(rows) != tt.rows || (err != nil) != tt.failed || (r.Held().Buckets != nil) != tt.compare {
			t.Errorf("%s: got %d rows, error %v, compares: %t, want %d, an error: %t, %t", tt.name, len(rows), err, r.Held().Buckets != nil, tt.rows, tt.failed, tt.compare)
		}
	}
}
