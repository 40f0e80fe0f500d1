package upstream

import (
	"context"
	"net"
	"testing"
	"time"

	"wheelgauge/peerhttp"
)

// A request that ended its third engine was not held back: the engine's connections had broken
// off, and its port still took a new one when it was looked at 1 ms later. Evidence: three
// engines had ended, the host wrote two ends, and no line for the third attempt that failed.
func TestReachable(t *testing.T) {
	tests := []struct {
		name string
		// open is for how long the port takes connections.
		open time.Duration
		want bool
	}{
		{"ended", 0, false},
		{"just ending", exitGrace / 5, false},
		{"goes on", time.Minute, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			timer := time.AfterFunc(tt.open, func() { _ = l.Close() })
			defer func() {
				timer.Stop()
				_ = l.Close()
			}()
			if tt.open == 0 {
				_ = l.Close()
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			p := New(peerhttp.NewDialer("", nil))
			if got := p.Reachable(ctx, l.Addr().String()); got != tt.want {
				t.Errorf("it is reached: %t, want %t", got, tt.want)
			}
		})
	}
}
