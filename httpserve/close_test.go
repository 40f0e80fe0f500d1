package httpserve

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// Listeners end together: a request at one that ends only when the others take no new
// connections is waited for. One after another they would take the limit each, and a
// program with four of them outlast the grace of its stop.
func TestListenersEndTogether(t *testing.T) {
	const count, limit = 4, 20 * time.Second
	var listeners []*Server
	began := make(chan struct{}, count)
	answered := make(chan error, count)
	handler := func(*fasthttp.RequestCtx) {
		began <- struct{}{}
		for _, l := range listeners {
			untilRefused(l.Address())
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
		<-began
	}
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	cut, err := CloseAll(ctx, listeners)
	if err != nil || len(cut) > 0 {
		t.Errorf("ended with %v, connections cut at %v", err, cut)
	}
	for range count {
		if err := <-answered; err != nil {
			t.Errorf("a request in flight was not answered: %v", err)
		}
	}
}

// untilRefused returns when an address takes no new connections.
func untilRefused(address string) {
	for {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		c.Close()
		time.Sleep(time.Millisecond)
	}
}
