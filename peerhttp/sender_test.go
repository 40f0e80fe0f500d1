package peerhttp

import (
	"net"
	"testing"

	"github.com/valyala/fasthttp"
)

// A sender waits until it closes the connection.
func TestSenderWaits(t *testing.T) {
	for _, closes := range []bool{false, true} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		remote, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		got := make(chan bool, 1)
		server := fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { got <- NewSender(ctx, 0).Waiting() }}
		if _, err := remote.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
			t.Fatal(err)
		}
		if closes {
			_ = remote.Close() // before the server reads, so that the close is there when it does
		}
		go func() { _ = server.Serve(l) }()
		if waits := <-got; waits == closes {
			t.Errorf("connection closed: %v; the sender waits: %v", closes, waits)
		}
		_ = server.Shutdown()
	}
}
