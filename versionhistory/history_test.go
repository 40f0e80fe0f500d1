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
			for _, s := range tt.steps {
				at = start.Add(s.at)
				list := []wheelgauge.Server{{Service: "other", Version: "v9"}}
				for _, version := range s.listed {
					list = append(list, wheelgauge.Server{Service: "s", Version: version})
				}
				h.Update(list[:1], list[1:])
			}
			at = start.Add(tt.at)
			version, ok := h.Sole("s", within)
			if wantOK := tt.want != "" || tt.name == "servers without a version"; ok != wantOK || version != tt.want {
				t.Errorf("got %q, %v, want %q, %v", version, ok, tt.want, wantOK)
			}
		})
	}
}
