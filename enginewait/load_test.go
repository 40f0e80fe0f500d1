package enginewait

import "testing"

func TestWait(t *testing.T) {
	// Bounds in milliseconds, as seen at engines under load.
	tests := []struct {
		name        string
		load        Load
		least, most float64
	}{
		{"idle", Load{Missing: 800, Slots: 64, Lasts: 2500}, 5, 20},
		{"a long prompt alone", Load{Missing: 12000, Slots: 64, Lasts: 2500}, 140, 250},
		{"behind prompts as urgent", Load{Running: 10, Before: 10, Ahead: 18000, Missing: 800, Slots: 64, Lasts: 2500}, 200, 400},
		{"behind less urgent prompts", Load{Running: 10, Later: 18000, Missing: 800, Slots: 64, Lasts: 2500}, 40, 120},
		{"least urgent at a full engine", Load{Running: 72, Before: 72, Slots: 64, Lasts: 2500, Overtaken: true, Missing: 5000}, 1000, 3000},
		{"most urgent at a full engine", Load{Running: 72, Before: 20, Slots: 64, Lasts: 2500, Missing: 1000}, 50, 200},
		{"equals at a full engine", Load{Running: 72, Before: 72, Slots: 64, Lasts: 2500, Missing: 1000}, 300, 700},
		{"no slots are known", Load{Running: 200, Before: 200, Missing: 1000}, 100, 400},
	}
	for _, tt := range tests {
		if got := tt.load.Wait(); got < tt.least || got > tt.most {
			t.Errorf("%s: %.0f ms, want %.0f to %.0f", tt.name, got, tt.least, tt.most)
		}
	}
}
