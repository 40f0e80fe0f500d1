package entrynode

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
	"wheelgauge/meter"
	"wheelgauge/routegate"
)

// The waiting room and the shares of workspaces are there only if they are turned on, each by
// itself. A closed room lets nobody in.
func TestAdmissionSettings(t *testing.T) {
	tests := []struct{ room, shares bool }{{false, false}, {true, false}, {false, true}, {true, true}}
	for _, tt := range tests {
		n := &Node{meter: meter.New(), options: Options{WaitingRoom: tt.room, WorkspaceShares: tt.shares, Clock: wheelgauge.MonotonicClock{}, Log: logr.Discard()}}
		var o routegate.Options
		n.openAdmission(&o)
		if (o.Room != nil) != tt.room || (o.Shares != nil) != tt.shares {
			t.Errorf("%+v: room %v, shares %v", tt, o.Room != nil, o.Shares != nil)
		}
		if err := n.closeRoom(); err != nil {
			t.Errorf("%+v: %v", tt, err)
		}
		if !tt.room {
			continue
		}
		now := time.Now()
		q := wheelgauge.QueuedRequest{
			Service: "s", ArrivedAt: now, ObjectiveAt: now.Add(time.Second), StartBy: now.Add(time.Hour), Run: time.Minute,
			HasRoom: func() bool { return true },
		}
		if o.Room.Wait(context.Background(), q) {
			t.Error("a closed room lets somebody in")
		}
	}
}
