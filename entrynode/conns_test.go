package entrynode

import (
	"testing"

	"wheelgauge"
)

// Connections whose peers all read slowly fit into the host's memory.
func TestConnLimit(t *testing.T) {
	const otherMemory = 36 << 20 // what a busy host uses for everything else
	tests := []struct {
		memoryMB       int64
		callers, peers int
	}{
		{0, maxCallerConns, maxPeerConns},
		{136, 397, 211},
		{144, 420, 224},
		{424, 1238, 660},
		{2048, maxCallerConns, maxPeerConns},
	}
	for _, tt := range tests {
		callers, peers := connLimit(tt.memoryMB<<20, maxCallerConns), connLimit(tt.memoryMB<<20, maxPeerConns)
		if connMemory := int64(callers+peers)*wheelgauge.SlowConnBytes + otherMemory; tt.memoryMB > 0 && connMemory > tt.memoryMB<<20 {
			t.Errorf("%d MB: %d and %d connections may use %d MB", tt.memoryMB, callers, peers, connMemory>>20)
		}
		if callers != tt.callers || peers != tt.peers {
			t.Errorf("%d MB: got %d and %d connections, want %d and %d", tt.memoryMB, callers, peers, tt.callers, tt.peers)
		}
	}
}
