package httpserve

import (
	"context"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// Close returns for a listener that was just opened, even if Serve has not yet started:
// fasthttp's Shutdown does not close such a listener.
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
			t.Fatal("Close did not return within the test limit")
		}
		cancel()
	}
}
