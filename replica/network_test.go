package replica

import (
	"testing"
	"time"

	"wheelgauge/raft"
)

func TestSendTimeout(t *testing.T) {
	tests := []struct {
		name     string
		messages []raft.Message
		want     time.Duration
	}{
		{"heartbeat", []raft.Message{{Type: raft.MessageAppend}}, baseSendTimeout},
		{"entries", []raft.Message{{Entries: []raft.Entry{{Data: make([]byte, sendBytesPerSecond)}, {Data: make([]byte, sendBytesPerSecond)}}}}, baseSendTimeout + 2*time.Second},
		{"snapshot", []raft.Message{{Snapshot: &raft.Snapshot{Data: make([]byte, sendBytesPerSecond)}}, {}}, baseSendTimeout + time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := sendTimeoutFor(tt.messages); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}
