package routegate

import (
	"testing"
	"time"
)

// A timeout of 1e15 ms in nanoseconds overflows time.Duration to a negative value; uncapped,
// such a request is refused as expired.
func TestParseTimeout(t *testing.T) {
	tests := []struct {
		text string
		want time.Duration
		ok   bool
	}{
		{"1500", 1500 * time.Millisecond, true},
		{"0.5", 500 * time.Microsecond, true},
		{"1e15", maxCallerTimeout, true},
		{"Inf", maxCallerTimeout, true},
		{"1e400", 0, false},
		{"NaN", 0, false},
		{"-5", 0, false},
		{"0", 0, false},
		{"", 0, false},
		{"soon", 0, false},
	}
	for _, tt := range tests {
		if got, ok := parseTimeout(tt.text); got != tt.want || ok != tt.ok {
			t.Errorf("%q: got %v, %t, want %v, %t", tt.text, got, ok, tt.want, tt.ok)
		}
	}
}
