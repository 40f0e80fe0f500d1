package gateway

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/httpserve"
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
		h.Set(wheelgauge.HeaderDeadlineMS, tt.text)
		if got, err := parseDeadline(&h, fallback); got != tt.want || (err != nil) != tt.bad {
			t.Errorf("%q: %v, %v, want %v", tt.text, got, err, tt.want)
		}
	}
}

// An answer is never cut for its length while its request has time left.
func TestWriteTimeoutCoversTheRequest(t *testing.T) {
	tests := []struct {
		name     string
		header   string
		fallback time.Duration
		least    time.Duration
	}{
		{"short", "", time.Minute, httpserve.WriteTimeout},
		{"long by its caller", "7200000", time.Minute, 2 * time.Hour},
		{"long by its class", "", time.Hour, time.Hour},
		{"malformed", "x", time.Minute, httpserve.WriteTimeout},
	}
	for _, tt := range tests {
		var h fasthttp.RequestHeader
		if tt.header != "" {
			h.Set(wheelgauge.HeaderDeadlineMS, tt.header)
		}
		if got := writeTimeout(&h, tt.fallback); got < tt.least {
			t.Errorf("%s: got %s, want %s at least", tt.name, got, tt.least)
		}
	}
}
