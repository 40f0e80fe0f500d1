package callerhttp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"wheelgauge"
)

func TestRequestThatArrivesWhileTheServerClosesIsServed(t *testing.T) {
	const request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
	tests := []struct {
		name string
		// before is the number of bytes sent before the server closes.
		before int
	}{
		{"a byte was sent", 1},
		{"the header was sent", len(request) - 4},
		{"a part of the body was sent", len(request) - 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, err := Listen("127.0.0.1:0", Options{
				Limits:   func() wheelgauge.CallerLimits { return wheelgauge.CallerLimits{} },
				MaxConns: 4,
				Serve:    func(_ context.Context, r *Request) { _ = r.Respond(http.StatusOK, nil, r.Body()) },
			})
			if err != nil {
				t.Fatal(err)
			}
			idle, c := dialServer(t, s), dialServer(t, s)
			if _, err := io.WriteString(c, request[:tt.before]); err != nil {
				t.Fatal(err)
			}
			for s.InFlight() == 0 {
				time.Sleep(time.Millisecond)
			}
			done := make(chan error, 1)
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				defer cancel()
				done <- s.Close(ctx)
			}()
			if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
				t.Errorf("the idle connection got %v, want its end", err)
			}
			if _, err := io.WriteString(c, request[tt.before:]); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatalf("the request got no answer: %v", err)
			}
			if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "body" || !resp.Close {
				t.Errorf("got %q, %v, connection ends: %t; want the whole answer, the last of its connection", body, err, resp.Close)
			}
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}
}

func dialServer(t *testing.T, s *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(fmt.Errorf("connect: %w", err))
	}
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	t.Cleanup(func() { _ = c.Close() })
	return c
}
