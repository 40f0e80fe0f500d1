package gateway

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
)

func TestDeadline(t *testing.T) {
	const otherwise = 7 * time.Second
	tests := []struct {
		text string
		want time.Duration
		bad  bool
	}{
		{"", otherwise, false},
		{"1500", 1500 * time.Millisecond, false},
		{"1000000000000000", longestLimit, false},
		{"9223372036854775807", longestLimit, false},
		{"0", otherwise, true},
		{"-5", otherwise, true},
		{"soon", otherwise, true},
	}
	for _, tt := range tests {
		var h fasthttp.RequestHeader
		h.Set(wheelgauge.HeaderDeadline, tt.text)
		if got, err := deadline(&h, otherwise); got != tt.want || (err != nil) != tt.bad {
			t.Errorf("%q: %v, %v, want %v", tt.text, got, err, tt.want)
		}
	}
}
