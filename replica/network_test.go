package replica

import (
	"testing"
	"time"

	"wheelgauge/raft"
)

func TestSendLimit(t *testing.T) {
	tests := []struct {
		name     string
		messages []raft.Message
		want     time.Duration
	}{
		{"heartbeat", []raft.Message{{Type: raft.MessageAppend}}, sendTimeout},
		{"entries", []raft.Message{{Entries: []raft.Entry{{Data: make([]byte, sendRate)}, {Data: make([]byte, sendRate)}}}}, sendTimeout + 2*time.Second},
		{"snapshot", []raft.Message{{Snapshot: &raft.Snapshot{Data: make([]byte, sendRate)}}, {}}, sendTimeout + time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := sendLimit(tt.messages); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}
