package httpserve

import (
	"context"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// A listener that is closed right after it was opened ends, though its serving
// may not have begun.
func TestCloseRightAfterListen(t *testing.T) {
	const testLimit = 20 * time.Second
	for range 200 {
		s, err := Listen("127.0.0.1:0", func(*fasthttp.RequestCtx) {}, Options{})
		if err != nil {
			t.Fatal(err)
		}
		closed := make(chan error, 1)
		ctx, cancel := context.WithTimeout(context.Background(), testLimit)
		go func() { closed <- s.Close(ctx) }()
		select {
		case err := <-closed:
			if err != nil {
				t.Fatal(err)
			}
		case <-ctx.Done():
			t.Fatal("the listener did not end")
		}
		cancel()
	}
}
