package serverset

import (
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/prompt"
)

// A newly listed version gets no requests until a newer state is known.
func TestNewVersionWaitsForState(t *testing.T) {
	at := time.Unix(1000, 0)
	now := func() time.Time { return at }
	of := func(instance, version string) wheelgauge.Server {
		return wheelgauge.Server{Instance: instance, Service: plain, Version: version, Address: "127.0.0.1:1", Hall: "h", Slots: 4}
	}
	tb := New(Place{Host: "g", Hall: "h", Peers: []string{"g"}}, func(string) *wheelgauge.Service { return nil }, now)
	chosen := func(versions wheelgauge.VersionFilter) string {
		k := tb.Choose(NewJob(plain, prompt.Prompt{}, 0, nil).WithVersions(versions))
		if k == nil {
			return ""
		}
		defer k.Done(Served)
		return k.Version()
	}
	only := wheelgauge.OnlyVersion("v2")
	steps := []struct {
		name  string
		do    func()
		want  string
		other string
	}{
		{"the first version", func() { tb.replaceList([]wheelgauge.Server{of("a", "v1")}, at) }, "", "v1"},
		{"a new version", func() { tb.replaceList([]wheelgauge.Server{of("a", "v1"), of("b", "v2")}, at) }, "", "v1"},
		{"an earlier state", func() { tb.ConfirmState() }, "", "v1"},
		{"a later state", func() { at = at.Add(time.Second); tb.ConfirmState() }, "v2", "v1"},
		{"no state for a long time", func() {
			tb.replaceList([]wheelgauge.Server{of("a", "v1")}, at)
			tb.replaceList([]wheelgauge.Server{of("a", "v1"), of("c", "v2")}, at)
			at = at.Add(maxVersionHold)
		}, "v2", "v1"},
		{"the first version is no longer listed", func() { tb.replaceList([]wheelgauge.Server{of("c", "v2")}, at) }, "v2", ""},
	}
	for _, s := range steps {
		s.do()
		if got, other := chosen(only), chosen(wheelgauge.ExceptVersion("v2")); got != s.want || other != s.other {
			t.Errorf("%s: chose versions %q and %q, want %q and %q", s.name, got, other, s.want, s.other)
		}
		if got := chosen(wheelgauge.NoVersion()); got != "" {
			t.Errorf("%s: chose %q, want none as no version is allowed", s.name, got)
		}
	}
	if !tb.HasVersion(plain, only) || tb.HasVersion(plain, wheelgauge.OnlyVersion("v1")) {
		t.Error("Lists reports the wrong versions, want only v2")
	}
}
