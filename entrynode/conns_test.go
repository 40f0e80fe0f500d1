package entrynode

import (
	"testing"

	"wheelgauge"
)

// Connections that are all read slowly stay within the memory of any host.
func TestConnsWithin(t *testing.T) {
	const rest = 36 << 20 // what a busy host holds besides
	tests := []struct {
		megabytes     int64
		callers, peer int
	}{
		{0, callerConns, peerConns},
		{136, 397, 211},
		{144, 420, 224},
		{424, 1238, 660},
		{2048, callerConns, peerConns},
	}
	for _, tt := range tests {
		callers, peers := connsWithin(tt.megabytes<<20, callerConns), connsWithin(tt.megabytes<<20, peerConns)
		if held := int64(callers+peers)*wheelgauge.SlowConnBytes + rest; tt.megabytes > 0 && held > tt.megabytes<<20 {
			t.Errorf("%d MB: %d and %d connections may hold %d MB", tt.megabytes, callers, peers, held>>20)
		}
		if callers != tt.callers || peers != tt.peer {
			t.Errorf("%d MB: %d and %d connections, want %d and %d", tt.megabytes, callers, peers, tt.callers, tt.peer)
		}
	}
}
