package enginewait

import "testing"

func TestWait(t *testing.T) {
	// Bounds in milliseconds, as seen at engines under load.
	tests := []struct {
		name        string
		load        Load
		least, most float64
	}{
		{"idle", Load{OwnTokens: 800, Slots: 64, DurationMS: 2500}, 5, 20},
		{"a long prompt alone", Load{OwnTokens: 12000, Slots: 64, DurationMS: 2500}, 140, 250},
		{"behind prompts as urgent", Load{InFlight: 10, InFlightAhead: 10, TokensAhead: 18000, OwnTokens: 800, Slots: 64, DurationMS: 2500}, 200, 400},
		{"behind less urgent prompts", Load{InFlight: 10, TokensBehind: 18000, OwnTokens: 800, Slots: 64, DurationMS: 2500}, 40, 120},
		{"least urgent at a full engine", Load{InFlight: 72, InFlightAhead: 72, Slots: 64, DurationMS: 2500, Overtaken: true, OwnTokens: 5000}, 1000, 3000},
		{"most urgent at a full engine", Load{InFlight: 72, InFlightAhead: 20, Slots: 64, DurationMS: 2500, OwnTokens: 1000}, 50, 200},
		{"equals at a full engine", Load{InFlight: 72, InFlightAhead: 72, Slots: 64, DurationMS: 2500, OwnTokens: 1000}, 300, 700},
		{"no slots are known", Load{InFlight: 200, InFlightAhead: 200, OwnTokens: 1000}, 100, 400},
	}
	for _, tt := range tests {
		if got := tt.load.Wait(); got < tt.least || got > tt.most {
			t.Errorf("%s: %.0f ms, want %.0f to %.0f", tt.name, got, tt.least, tt.most)
		}
	}
}
