package cappurse

import (
	"context"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/fake/manualclock"
)

// A host that wakes uses neither what it drew ahead nor what it might send alone before it
// was suspended: stores have given both to others since.
func TestSuspendedHost(t *testing.T) {
	const units = 3000
	tests := []struct {
		name      string
		suspended time.Duration
		// ahead tells that what was drawn ahead is left, alone that the host may go on by
		// itself.
		ahead, alone bool
	}{
		{"for a moment", 500 * time.Millisecond, true, true},
		{"for longer than what is drawn lasts", 3 * time.Second, false, true},
		{"for longer than it may go on", 10 * time.Second, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := manualclock.New()
			dark := false
			p := New(Options{
				Host: "h", Boot: 1, Now: clock.Now,
				Stores: func() []wheelgauge.StoreAt { return []wheelgauge.StoreAt{{Address: "s"}} },
				Ask: func(_ context.Context, _ string, ask wheelgauge.CapAsk) (wheelgauge.CapAnswer, error) {
					if dark {
						return wheelgauge.CapAnswer{}, errUnreachable
					}
					return wheelgauge.CapAnswer{Grants: []wheelgauge.CapGrant{{Granted: true, Ahead: ask.Wants[0].Ahead, Alone: 1e6, AloneMS: 8000}}}, nil
				},
			})
			defer p.Close()
			if fault := p.Take(context.Background(), testWorkspace, units); fault != nil {
				t.Fatal(fault)
			}
			dark = true
			clock.Pass(tt.suspended)
			if left := p.takeCached(testWorkspace.Name, units); left != tt.ahead {
				t.Errorf("what was drawn ahead is used: %v, want %v", left, tt.ahead)
			}
			fault := p.takeStandalone(testWorkspace.Name, units)
			if (fault == nil) != tt.alone {
				t.Errorf("it goes on alone: %v, want %v", fault == nil, tt.alone)
			}
			if fault != nil && fault.Reason() != wheelgauge.ReasonNoLeader {
				t.Errorf("it says %v", fault)
			}
		})
	}
}
