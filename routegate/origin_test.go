package routegate

import (
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
