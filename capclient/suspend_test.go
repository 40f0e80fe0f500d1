package capclient

import (
	"context"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/fake/manualclock"
)

// A host that resumes uses neither units prefetched nor standalone units from before it was
// suspended: stores have granted both to others since.
func TestSuspendedHost(t *testing.T) {
	const units = 3000
	tests := []struct {
		name      string
		suspended time.Duration
		// prefetched is set if prefetched units are still used, standalone if the host may
		// still be standalone.
		prefetched, standalone bool
	}{
		{"for a moment", 500 * time.Millisecond, true, true},
		{"for longer than prefetched units last", 3 * time.Second, false, true},
		{"for longer than the standalone time", 10 * time.Second, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := manualclock.New()
			unreachable := false
			client := New(Options{
				Host: "h", Boot: 1, Now: clock.Now,
				Stores: func() []wheelgauge.StoreEndpoint { return []wheelgauge.StoreEndpoint{{Address: "s"}} },
				Draw: func(_ context.Context, _ string, req wheelgauge.CapUnitsRequest) (wheelgauge.CapUnitsResponse, error) {
					if unreachable {
						return wheelgauge.CapUnitsResponse{}, errUnreachable
					}
					return wheelgauge.CapUnitsResponse{Grants: []wheelgauge.CapGrant{{Granted: true, Prefetched: req.Items[0].Prefetch, StandaloneRate: 1e6, StandaloneMS: 8000}}}, nil
				},
			})
			defer client.Close()
			if err := client.Acquire(context.Background(), testWorkspace, units); err != nil {
				t.Fatal(err)
			}
			unreachable = true
			clock.Advance(tt.suspended)
			if left := client.takeCached(testWorkspace.Name, units); left != tt.prefetched {
				t.Errorf("prefetched units used: %v, want %v", left, tt.prefetched)
			}
			err := client.takeStandalone(testWorkspace.Name, units)
			if (err == nil) != tt.standalone {
				t.Errorf("request passed standalone: %v, want %v", err == nil, tt.standalone)
			}
			if err != nil && err.Reason() != wheelgauge.ReasonNoLeader {
				t.Errorf("error is %v, want reason no-leader", err)
			}
		})
	}
}
