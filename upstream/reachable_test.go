package upstream

import (
	"context"
	"net"
	"testing"
	"time"

	"wheelgauge/peerhttp"
)

// A crash must be detected although a process that exits closes its connections before its port
// refuses new ones: probed 1 ms later, the port still accepted one. The third crash caused by a
// request was missed this way, and the request was not quarantined.
func TestReachable(t *testing.T) {
	tests := []struct {
		name string
		// open is how long the port accepts connections.
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
				t.Errorf("reachable: %t, want %t", got, tt.want)
			}
		})
	}
}
