package peerset

import (
	"net"
	"testing"

	"wheelgauge"
)

// listener accepts connections and keeps them open.
func listener(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		var kept []net.Conn
		for {
			c, err := l.Accept()
			if err != nil {
				for _, c := range kept {
					_ = c.Close()
				}
				return
			}
			kept = append(kept, c)
		}
	}()
	return l
}

// A request to another region finds an idle connection, as opening one takes another round
// trip.
func TestConnectionsAreOpenedAhead(t *testing.T) {
	l := listener(t)
	tb, _ := table()
	tb.replaceHosts([]wheelgauge.FleetHost{
		{Name: "n1", Region: "north", PeerAddress: l.Addr().String(), Ready: true},
		{Name: "s1", Region: "south", PeerAddress: "127.0.0.1:1", Ready: true, Leaving: true},
	})
	north := tb.peers["n1"].Pool()
	tb.OpenIdle(t.Context())
	if north.IdleCount() != minIdleConns {
		t.Fatalf("%d idle connections, want %d", north.IdleCount(), minIdleConns)
	}
	tb.OpenIdle(t.Context())
	if north.Dialed() != minIdleConns {
		t.Errorf("%d connections opened in total, though none was used", north.Dialed())
	}
	for range minIdleConns + 2 {
		p := tb.Choose("north", service, 1, 0, nil)
		if _, err := p.Pool().Get(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	// Two requests found no idle connection, so that two more are opened for the next wave.
	tb.OpenIdle(t.Context())
	if north.IdleCount() != minIdleConns+2 {
		t.Errorf("%d idle connections after a wave of requests, want %d", north.IdleCount(), minIdleConns+2)
	}
	tb.PauseRegion(tb.peers["n1"])
	if missing := tb.missingConns(); len(missing) != 0 {
		t.Errorf("connections are to be opened to a silent region: %v", missing)
	}
	tb.Close()
	if err := north.OpenIdle(t.Context()); err == nil {
		t.Error("a closed pool opens a connection")
	}
}
