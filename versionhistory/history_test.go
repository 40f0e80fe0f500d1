package versionhistory

import (
	"testing"
	"time"

	"wheelgauge"
)

func TestOnlyVersionForATime(t *testing.T) {
	const within = 20 * time.Second
	type step struct {
		at     time.Duration
		listed []string // versions of the service
	}
	tests := []struct {
		name  string
		steps []step
		at    time.Duration
		want  string
	}{
		{"one version for long", []step{{0, []string{"v1", "v1"}}}, within, "v1"},
		{"one version, known for less", []step{{0, []string{"v1"}}}, within - 1, ""},
		{"two versions", []step{{0, []string{"v1"}}, {time.Minute, []string{"v1", "v2"}}}, 2 * time.Minute, ""},
		{"another version lately, listed for long", []step{{0, []string{"v1"}}, {time.Minute, []string{"v2"}}}, time.Minute + within, ""},
		{"another version long ago", []step{{0, []string{"v1"}}, {time.Minute, []string{"v2"}}}, time.Minute + within + 1, "v2"},
		{"none listed", []step{{0, []string{"v1"}}, {time.Minute, nil}}, 2 * time.Minute, ""},
		{"gone for a moment", []step{{0, []string{"v1"}}, {time.Second, nil}, {2 * time.Second, []string{"v1"}}}, within, "v1"},
		{"servers without a version", []step{{0, []string{""}}}, within, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			at := start
			h := New(func() time.Time { return at })
			advance := func(to time.Duration) {
				for at.Before(start.Add(to)) {
					h.Confirm(at)
					at = at.Add(min(time.Second, start.Add(to).Sub(at)))
				}
			}
			for _, s := range tt.steps {
				advance(s.at)
				list := []wheelgauge.Server{{Service: "other", Version: "v9"}}
				for _, version := range s.listed {
					list = append(list, wheelgauge.Server{Service: "s", Version: version})
				}
				h.Update(list[:1], list[1:])
			}
			advance(tt.at)
			version, ok := h.Sole("s", within)
			if wantOK := tt.want != "" || tt.name == "servers without a version"; ok != wantOK || version != tt.want {
				t.Errorf("got %q, %v, want %q, %v", version, ok, tt.want, wantOK)
			}
		})
	}
}

// A version that came and went while no list was read was forgotten.
func TestVersionsOfAGapAreNotKnown(t *testing.T) {
	const within = 20 * time.Second
	tests := []struct {
		name string
		gap  time.Duration
		// after is the time since the gap.
		after time.Duration
		want  bool
	}{
		{"no gap", maxGap, 0, true},
		{"after a gap", maxGap + 1, 0, false},
		{"some time after a gap", maxGap + 1, within - 1, false},
		{"long after a gap", maxGap + 1, within, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			at := time.Unix(1000, 0)
			h := New(func() time.Time { return at })
			h.Update([]wheelgauge.Server{{Service: "s", Version: "v1"}})
			for range 60 {
				at = at.Add(time.Second)
				h.Confirm(at)
			}
			at = at.Add(tt.gap)
			if _, ok := h.Sole("s", within); ok && tt.gap > maxGap {
				t.Error("got a sole version from a list that is too old")
			}
			h.Confirm(at)
			for end := at.Add(tt.after); at.Before(end); h.Confirm(at) {
				at = at.Add(min(time.Second, end.Sub(at)))
			}
			if version, ok := h.Sole("s", within); ok != tt.want {
				t.Errorf("got %q, %v, want %v", version, ok, tt.want)
			}
		})
	}
}
