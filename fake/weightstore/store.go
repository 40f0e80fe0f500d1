// Package weightstore is a fake of the rate-limited store of model weights.
package weightstore

import (
	"bufio"
	"context"
	"fmt"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"wheelgauge/httpserve"
)

const chunkBytes = 16 << 10

// Store is a running fake weight store.
type Store struct {
	ctx     context.Context
	limiter *rate.Limiter
	server  *httpserve.Server
}

// Start serves at address; all readers share bytesPerSecond.
func Start(ctx context.Context, address string, bytesPerSecond int) (*Store, error) {
	s := &Store{ctx: ctx, limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), chunkBytes)}
	server, err := httpserve.Listen(address, s.handle, httpserve.Options{})
	if err != nil {
		return nil, fmt.Errorf("start weight store: %w", err)
	}
	s.server = server
	return s, nil
}

// Address returns the address that the store listens at.
func (s *Store) Address() string { return s.server.Address() }

// Close stops the store.
func (s *Store) Close(ctx context.Context) error { return s.server.Close(ctx) }

// handle sends the number of bytes that the query requests, at the store's rate.
func (s *Store) handle(ctx *fasthttp.RequestCtx) {
	remaining := ctx.QueryArgs().GetUintOrZero("bytes")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		chunk := make([]byte, chunkBytes)
		for remaining > 0 {
			n := min(remaining, chunkBytes)
			if s.limiter.WaitN(s.ctx, n) != nil {
				return
			}
			if _, err := w.Write(chunk[:n]); err != nil {
				return
			}
			remaining -= n
		}
	})
}
