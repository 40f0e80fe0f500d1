package entrynode

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"wheelgauge/callerhttp"
	"wheelgauge/routegate"
)

// Connections turned away since the last line are counted in one line; without any there is
// none.
func TestTurnedAwayConnectionsAreLogged(t *testing.T) {
	const waitTime = 10 * time.Second
	var lines []string
	n := &Node{gate: routegate.New(routegate.Options{})}
	n.options.Log = funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	for _, s := range []**callerhttp.Server{&n.callerServer, &n.peerServer} {
		listener, err := callerhttp.Listen("127.0.0.1:0", callerhttp.Options{Limits: n.gate.Limits}) // without places
		if err != nil {
			t.Fatal(err)
		}
		*s = listener
		t.Cleanup(func() {
			ctx, cancel := context.WithTimeout(context.Background(), waitTime)
			defer cancel()
			_ = listener.Close(ctx)
		})
	}
	for range 3 {
		c, err := net.Dial("tcp", n.callerServer.Address())
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(waitTime))
		if _, err := c.Read(make([]byte, 1)); err == nil {
			t.Error("a connection without a place was answered")
		}
		_ = c.Close()
	}
	n.logTurnedAway()
	n.logTurnedAway()
	if len(lines) != 1 || !strings.Contains(lines[0], `"callers"=3 "peers"=0`) {
		t.Errorf("got %q, want one line with 3 callers", lines)
	}
}
