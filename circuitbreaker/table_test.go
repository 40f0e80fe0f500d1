package circuitbreaker

import (
	"testing"
	"time"
)

func TestTable(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		name string
		run  func(t *Breakers)
		ms   int
		want bool
	}{
		{"unknown", func(*Breakers) {}, 0, true},
		{"one failure", func(t *Breakers) { t.Failed("s", at(0)) }, 1, true},
		{"two failures", func(t *Breakers) { t.Failed("s", at(0)); t.Failed("s", at(0)) }, 1, false},
		{"after the pause", func(t *Breakers) { t.Failed("s", at(0)); t.Failed("s", at(0)) }, 501, true},
		{"one at a time", func(t *Breakers) { t.Failed("s", at(0)); t.Failed("s", at(0)); t.CallStarted("s") }, 501, false},
		{"the pause doubles", func(t *Breakers) { t.Failed("s", at(0)); t.Failed("s", at(0)); t.Failed("s", at(0)) }, 900, false},
		{"after a success", func(t *Breakers) { t.Failed("s", at(0)); t.Failed("s", at(0)); t.Succeeded("s") }, 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := New()
			tt.run(table)
			if got := table.Allowed("s", at(tt.ms)); got != tt.want {
				t.Fatalf("Allowed returned %t, want the opposite", got)
			}
		})
	}
}
