package routegate

import (
	"strings"
	"testing"

	"wheelgauge"
)

func TestVersionOfAStreamIsReportedToGatewaysOnly(t *testing.T) {
	tests := []struct {
		name string
		peer bool
		want string
	}{
		{"to a caller", false, ""},
		{"to a gateway", true, "v7"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBackend(t, streamHead+chunk("id: 1\ndata: a\n\n")+"0\r\n\r\n")
			g, c := newGateOfVersions(t, []string{"v7"}, b)
			if tt.peer {
				c = peerConn(t, g)
			}
			resp, _, err := get(t, c, "/stream/", "")
			if err != nil {
				t.Fatal(err)
			}
			if got := resp.Header.Get(wheelgauge.HeaderStreamVersion); got != tt.want {
				t.Errorf("got version %q, want %q", got, tt.want)
			}
		})
	}
}

// versionedBackends returns backends of the given versions. Each sends one event that names its
// version, with the next ID for each request of the stream, and breaks off.
func versionedBackends(t *testing.T, versions []string) []*backend {
	out := make([]*backend, 0, len(versions))
	for _, version := range versions {
		b := newBackend(t)
		b.fallback = streamHead + chunk("id: 1\ndata: "+version+"\n\n")
		out = append(out, b)
	}
	return out
}

func TestBrokenStreamIsNotResumedAtAnotherVersion(t *testing.T) {
	tests := []struct {
		name     string
		versions []string
		runs     int
	}{
		{"another server of its version", []string{"v1", "v2", "v1", "v2", "v2"}, 2},
		{"no other server of its version", []string{"v1", "v2"}, 1},
		{"one version", []string{"v1", "v1"}, 2},
		{"no versions", []string{"", ""}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, c := newGateOfVersions(t, tt.versions, versionedBackends(t, tt.versions)...)
			_, body, err := get(t, c, "/resume/", "")
			if err == nil {
				t.Error("a stream that broke off looks complete")
			}
			events := strings.Split(strings.TrimSuffix(body, "\n\n"), "\n\n")
			if len(events) != tt.runs {
				t.Errorf("got events of %d servers, want %d: %q", len(events), tt.runs, body)
			}
			for _, event := range events {
				if event != events[0] {
					t.Errorf("got events of two versions: %q", body)
				}
			}
		})
	}
}
