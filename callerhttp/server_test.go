package callerhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"wheelgauge"
)

const testTimeout = 10 * time.Second

func limits() wheelgauge.CallerLimits {
	return wheelgauge.CallerLimits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64, HeaderTimeout: time.Second, IdleTimeout: testTimeout}
}

func listen(t *testing.T, serve func(ctx context.Context, r *Request)) (*Server, net.Conn) {
	t.Helper()
	s, err := Listen("127.0.0.1:0", Options{Limits: limits, Serve: serve, MaxConns: 8})
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = c.Close()
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		if err := s.Close(ctx); err != nil {
			t.Error(err)
		}
	})
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return s, c
}

func echo(_ context.Context, r *Request) {
	_ = r.Respond(http.StatusOK, nil, append([]byte(string(r.Header().RequestURI())+" "), r.Body()...))
}

func TestRequests(t *testing.T) {
	tests := []struct {
		name   string
		send   string
		status int
		body   string
		closed bool
	}{
		{"length", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi", 200, "/a hi", false},
		{"chunked", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", 200, "/a hi", false},
		{"get with a body", "GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi", 200, "/a hi", false},
		{"last of its connection", "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", 200, "/a ", true},
		{"two lengths", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi", 400, "", true},
		{"length and chunked", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, "", true},
		{"broken chunk", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400, "", true},
		{"too long", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n", 413, "", true},
		{"chunks too long", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n50\r\n" + strings.Repeat("x", 80) + "\r\n0\r\n\r\n", 413, "", true},
		{"header too long", "GET /a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 17<<10) + "\r\n\r\n", 431, "", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, c := listen(t, echo)
			if _, err := c.Write([]byte(tt.send)); err != nil {
				t.Fatal(err)
			}
			in := bufio.NewReader(c)
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != tt.status || tt.body != "" && string(body) != tt.body {
				t.Errorf("got %d %q, want %d %q", resp.StatusCode, body, tt.status, tt.body)
			}
			if !tt.closed {
				return
			}
			if _, err := in.ReadByte(); err == nil {
				t.Error("the connection stayed open, want it closed")
			}
		})
	}
}

func TestRequestsOnOneConnection(t *testing.T) {
	_, c := listen(t, echo)
	if _, err := c.Write([]byte("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(c)
	for _, want := range []string{"/1 ", "/2 "} {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, _ := io.ReadAll(resp.Body); string(body) != want {
			t.Errorf("got %q, want %q", body, want)
		}
	}
}

func TestCallerLeaves(t *testing.T) {
	started, left := make(chan struct{}), make(chan *Request, 1)
	_, c := listen(t, func(ctx context.Context, r *Request) {
		close(started)
		<-ctx.Done()
		left <- r
	})
	if _, err := c.Write([]byte("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	<-started
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	if r := <-left; !r.Disconnected() {
		t.Error("the request was cancelled without noting that its caller disconnected")
	}
}

func TestCutResponseIsNotComplete(t *testing.T) {
	_, c := listen(t, func(_ context.Context, r *Request) {
		r.StartResponse(http.StatusOK, nil, -1)
		if _, err := r.Write([]byte("part")); err != nil {
			t.Error(err)
		}
		r.Abort()
	})
	if _, err := c.Write([]byte("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("got complete body %q, want an error", body)
	}
}

func TestShortResponseIsCut(t *testing.T) {
	_, c := listen(t, func(_ context.Context, r *Request) {
		r.StartResponse(http.StatusOK, nil, 8)
		if _, err := r.Write([]byte("part")); err != nil {
			t.Error(err)
		}
		if err := r.End(); err == nil {
			t.Error("End accepted a body shorter than its Content-Length, want an error")
		}
	})
	if _, err := c.Write([]byte("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("got complete body %q, want an error", body)
	}
}

func TestDrainEndsConnections(t *testing.T) {
	s, c := listen(t, echo)
	s.Drain()
	if _, err := c.Write([]byte("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if !resp.Close {
		t.Error("no Connection: close from a draining server")
	}
}

func TestAnswerThatEndsWithItsConnectionSurvivesAnotherRequest(t *testing.T) {
	sent := make(chan struct{})
	_, c := listen(t, func(_ context.Context, r *Request) {
		r.StartResponse(http.StatusOK, nil, UnknownEnd)
		_, _ = r.Write([]byte("part"))
		<-sent
		_, _ = r.Write([]byte(" and rest"))
		_ = r.End()
	})
	if _, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, "GET /b HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond) // the request arrives
	close(sent)
	body, err := io.ReadAll(resp.Body)
	if err != nil || string(body) != "part and rest" {
		t.Errorf("got %q, %v, want the whole answer", body, err)
	}
}
