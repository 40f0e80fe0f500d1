package routegate

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"wheelgauge"
)

// deadBackends returns backends whose addresses accept no connections.
func deadBackends(t *testing.T, count int) []*backend {
	out := make([]*backend, count)
	for i := range out {
		out[i] = newBackend(t)
		_ = out[i].conn.Close()
	}
	return out
}

func TestHostThatReachesNoServerTakesNoForwardedRequest(t *testing.T) {
	g, c := newGate(t, routes(), deadBackends(t, 4)...)
	resp, body, err := get(t, c, "/once/", "")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("a caller's request got %v %s, %v, want 503", resp, body, err)
	}
	if out := g.options.Reach.OutOfReach(); len(out) != 1 || out[0] != "s" {
		t.Errorf("out of reach are %v, want the service", out)
	}
	resp, body, err = get(t, peerConn(t, g), "/once/", "")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !strings.Contains(body, string(wheelgauge.ReasonOutOfReach)) || resp.Header.Get(wheelgauge.HeaderOutcome) != string(wheelgauge.OutcomeNotRun) {
		t.Errorf("a forwarded request got %v %s, %v, want 503 not-run with reason out-of-reach", resp, body, err)
	}
}

func TestServersThatAnswerFailuresAreWithinReach(t *testing.T) {
	b := newBackend(t)
	b.fallback = failureAnswer
	g, c := newGate(t, routes(), b, b, b)
	for range 4 {
		if _, _, err := get(t, c, "/once/", ""); err != nil {
			t.Fatal(err)
		}
	}
	if out := g.options.Reach.OutOfReach(); len(out) > 0 {
		t.Errorf("out of reach are %v, want none: the servers answer", out)
	}
}

func TestSecondTryGoesToAnotherRegionThanTheOneThatFailed(t *testing.T) {
	tests := []struct {
		name string
		far  bool // there is a second region
		want int
		near int // requests at gateways of the region that fails
	}{
		{"another region", true, http.StatusOK, 1},
		{"no other region", false, http.StatusBadGateway, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, c := newGate(t, routes())
			near := newBackend(t)
			near.fallback = "HTTP/1.1 502 Bad Gateway\r\n" + wheelgauge.HeaderOutcome + ": unknown\r\n" + wheelgauge.HeaderSends + ": 1\r\nContent-Length: 0\r\n\r\n"
			hosts := []wheelgauge.FleetHost{{Name: "n1", Region: "near", PeerAddress: near.conn.Addr().String(), Ready: true}, {Name: "n2", Region: "near", PeerAddress: near.conn.Addr().String(), Ready: true}}
			usage := func(region string) wheelgauge.RegionUsage {
				return wheelgauge.RegionUsage{Region: region, Services: []wheelgauge.ServiceUsage{{Service: "s", Servers: 1, Slots: 4}}}
			}
			loads := []wheelgauge.RegionUsage{usage("near")}
			if tt.far {
				hosts = append(hosts, wheelgauge.FleetHost{Name: "f", Region: "far", PeerAddress: newBackend(t).conn.Addr().String(), Ready: true})
				loads = append(loads, usage("far"))
			}
			peers := g.options.Peers
			peers.UpdateHosts(hosts, nil)
			peers.SetLoads(loads)
			peers.ObserveRoundTrip("near", time.Millisecond)
			resp, body, err := get(t, c, "/safe/", "")
			if err != nil || resp.StatusCode != tt.want || len(near.received()) != tt.near {
				t.Errorf("got %v %s, %v after %d requests to the region that fails, want %d after %d", resp, body, err, len(near.received()), tt.want, tt.near)
			}
		})
	}
}
