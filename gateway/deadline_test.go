package gateway

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
)

func TestParseDeadline(t *testing.T) {
	const fallback = 7 * time.Second
	tests := []struct {
		text string
		want time.Duration
		bad  bool
	}{
		{"", fallback, false},
		{"1500", 1500 * time.Millisecond, false},
		{"1000000000000000", maxDeadline, false},
		{"9223372036854775807", maxDeadline, false},
		{"0", fallback, true},
		{"-5", fallback, true},
		{"soon", fallback, true},
	}
	for _, tt := range tests {
		var h fasthttp.RequestHeader
		h.Set(wheelgauge.HeaderDeadline, tt.text)
		if got, err := parseDeadline(&h, fallback); got != tt.want || (err != nil) != tt.bad {
			t.Errorf("%q: %v, %v, want %v", tt.text, got, err, tt.want)
		}
	}
}
