// Package weights is a small stand-in for the rate-limited weight store.
package weights

import (
	"bufio"
	"context"
	"fmt"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"wheelgauge/httpserve"
)

const pieceBytes = 16 << 10

// Store is a running stand-in.
type Store struct {
	ctx     context.Context
	limiter *rate.Limiter
	server  *httpserve.Server
}

// Start serves at address, bytesPerSecond to all readers together.
func Start(ctx context.Context, address string, bytesPerSecond int) (*Store, error) {
	s := &Store{ctx: ctx, limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), pieceBytes)}
	server, err := httpserve.Listen(address, s.handle, httpserve.Options{})
	if err != nil {
		return nil, fmt.Errorf("start weight store: %w", err)
	}
	s.server = server
	return s, nil
}

// Address returns where the store serves.
func (s *Store) Address() string { return s.server.Address() }

// Close stops the store.
func (s *Store) Close(ctx context.Context) error { return s.server.Close(ctx) }

// handle sends as many bytes as the query asks for, at the store's rate.
func (s *Store) handle(ctx *fasthttp.RequestCtx) {
	left := ctx.QueryArgs().GetUintOrZero("bytes")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		piece := make([]byte, pieceBytes)
		for left > 0 {
			n := min(left, pieceBytes)
			if s.limiter.WaitN(s.ctx, n) != nil {
				return
			}
			if _, err := w.Write(piece[:n]); err != nil {
				return
			}
			left -= n
		}
	})
}
