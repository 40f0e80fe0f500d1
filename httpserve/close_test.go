package httpserve

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// CloseAll closes listeners at the same time: each request here only ends once no listener
// accepts connections. Closed one after another, each listener would take the whole limit,
// and a program with four of them would exceed its grace period.
func TestCloseAllIsConcurrent(t *testing.T) {
	const count, limit = 4, 20 * time.Second
	var listeners []*Server
	started := make(chan struct{}, count)
	answered := make(chan error, count)
	handler := func(*fasthttp.RequestCtx) {
		started <- struct{}{}
		for _, l := range listeners {
			waitUntilRefused(l.Address())
		}
	}
	for range count {
		l, err := Listen("127.0.0.1:0", handler, Options{})
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
	}
	for _, l := range listeners {
		go func() {
			_, _, err := fasthttp.Get(nil, "http://"+l.Address()+"/")
			answered <- err
		}()
	}
	for range count {
		<-started
	}
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	cut, err := CloseAll(ctx, listeners)
	if err != nil || len(cut) > 0 {
		t.Errorf("CloseAll: got %v, connections cut at %v, want none", err, cut)
	}
	for range count {
		if err := <-answered; err != nil {
			t.Errorf("a request in flight got no response: %v", err)
		}
	}
}

// waitUntilRefused returns when an address refuses connections.
func waitUntilRefused(address string) {
	for {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		c.Close()
		time.Sleep(time.Millisecond)
	}
}
