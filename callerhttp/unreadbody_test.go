package callerhttp

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"wheelgauge"
)

// largeBody is more than is dropped to keep a connection, and more than a socket buffers.
const largeBody = 8 << 20

func largeLimits() wheelgauge.CallerLimits {
	l := limits()
	l.MaxBodyBytes = largeBody
	return l
}

// admitGood refuses requests whose path begins with /bad.
func admitGood(_ context.Context, r *Request) func(context.Context) {
	if strings.HasPrefix(string(r.Header().RequestURI()), "/bad") {
		r.RespondError(wheelgauge.NewError(wheelgauge.ReasonResidency, wheelgauge.OutcomeNotRun, http.StatusMisdirectedRequest, "no home"))
		return nil
	}
	return func(ctx context.Context) { echo(ctx, r) }
}

func listenWith(t *testing.T, o Options) *Server {
	t.Helper()
	if o.Limits == nil {
		o.Limits = largeLimits
	}
	s, err := Listen("127.0.0.1:0", o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		_ = s.Close(ctx)
	})
	return s
}

func dial(t *testing.T, s *Server) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return c.(*net.TCPConn)
}

// readStatus reads a whole response.
func readStatus(in *bufio.Reader) (status int, closes bool, err error) {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, false, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Close, err
}

func TestRefusalBeforeBody(t *testing.T) {
	const good = "POST /good HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"
	tests := []struct {
		name string
		send string
		// statuses are those of all answers; the connection is closed after the last if closed.
		statuses []int
		closed   bool
		dropped  int64
	}{
		{"no body", "GET /bad HTTP/1.1\r\nHost: h\r\n\r\n" + good, []int{421, 200}, false, 0},
		{"small body, then a good request", "POST /bad HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello" + good, []int{421, 200}, false, 5},
		{"largest body that is dropped", fmt.Sprintf("POST /bad HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", maxDroppedBytes, strings.Repeat("x", maxDroppedBytes)) + good, []int{421, 200}, false, maxDroppedBytes},
		{"one byte more", fmt.Sprintf("POST /bad HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", maxDroppedBytes+1, strings.Repeat("x", maxDroppedBytes+1)) + good, []int{421}, true, -1},
		{"a request in the body", "POST /bad HTTP/1.1\r\nHost: h\r\nContent-Length: 29\r\n\r\nGET /in HTTP/1.1\r\nHost: h\r\n\r\n\n" + good, []int{421, 200}, false, 29},
		{"chunked", "POST /bad HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n" + good, []int{421}, true, -1},
		{"a request in place of a chunk", "POST /bad HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + good, []int{421}, true, -1},
		{"broken chunk", "POST /bad HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", []int{421}, true, -1},
		{"waits for 100 Continue", "POST /bad HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n", []int{421}, true, 0},
		{"waits for 100 Continue, name in lower case", "POST /bad HTTP/1.1\r\nHost: h\r\nexpect: 100-continue\r\nContent-Length: 2\r\n\r\n" + good, []int{421}, true, -1},
		{"waits for 100 Continue without a body", "POST /bad HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 0\r\n\r\n" + good, []int{421, 200}, false, 0},
		{"last of its connection", "POST /bad HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi" + good, []int{421}, true, -1},
		{"version 1.0", "POST /bad HTTP/1.0\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi", []int{421}, true, -1},
		{"two lengths", "POST /bad HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi" + good, []int{400}, true, 0},
		{"length and chunked", "POST /bad HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + good, []int{400}, true, 0},
		{"too long", fmt.Sprintf("POST /bad HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", largeBody+1), []int{413}, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := listenWith(t, Options{Admit: admitGood, MaxConns: 8})
			c := dial(t, s)
			if _, err := c.Write([]byte(tt.send)); err != nil {
				t.Fatal(err)
			}
			in := bufio.NewReader(c)
			var closes bool
			for _, want := range tt.statuses {
				var status int
				var err error
				status, closes, err = readStatus(in)
				if err != nil || status != want {
					t.Fatalf("got %d, %v, want %d", status, err, want)
				}
			}
			if closes != tt.closed {
				t.Errorf("the last answer announces the end of the connection: %v, want %v", closes, tt.closed)
			}
			if tt.closed {
				if _, err := in.ReadByte(); err == nil {
					t.Error("there is another answer")
				}
			}
			if got := s.Counts().DroppedBytes; tt.dropped >= 0 && got != tt.dropped {
				t.Errorf("%d bytes dropped, want %d", got, tt.dropped)
			}
		})
	}
}

// An admitted request that waits for 100 Continue gets it, after the decision.
func TestContinueAfterAdmission(t *testing.T) {
	c := dial(t, listenWith(t, Options{Admit: admitGood, MaxConns: 8}))
	in := bufio.NewReader(c)
	_, _ = c.Write([]byte("POST /good HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"))
	if line, err := in.ReadString('\n'); err != nil || line != "HTTP/1.1 100 Continue\r\n" {
		t.Fatalf("got %q, %v, want 100 Continue", line, err)
	}
	_, _ = in.ReadString('\n')
	_, _ = c.Write([]byte("hi"))
	if status, _, err := readStatus(in); err != nil || status != http.StatusOK {
		t.Errorf("got %d, %v, want 200", status, err)
	}
}

// The write of 100 Continue has its own deadline, not that of the answer before.
func TestContinueLongAfterAnswer(t *testing.T) {
	const writeTimeout = 20 * time.Millisecond
	c := dial(t, listenWith(t, Options{Admit: admitGood, MaxConns: 8, WriteTimeout: writeTimeout}))
	in := bufio.NewReader(c)
	_, _ = c.Write([]byte("GET /good HTTP/1.1\r\nHost: h\r\n\r\n"))
	if status, _, err := readStatus(in); err != nil || status != http.StatusOK {
		t.Fatalf("got %d, %v, want 200", status, err)
	}
	time.Sleep(2 * writeTimeout)
	_, _ = c.Write([]byte("POST /good HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"))
	if line, err := in.ReadString('\n'); err != nil || line != "HTTP/1.1 100 Continue\r\n" {
		t.Errorf("got %q, %v, want 100 Continue", line, err)
	}
}

// A caller that sends a large body reads its answer, though most of the body is never read.
func TestLargeBodyDoesNotDestroyAnswer(t *testing.T) {
	s := listenWith(t, Options{Admit: admitGood, MaxConns: 8})
	c := dial(t, s)
	go func() {
		_, _ = fmt.Fprintf(c, "POST /bad HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", largeBody)
		_, _ = c.Write(make([]byte, maxLingerBytes/2)) // it stops at the answer, as callers do
	}()
	status, closes, err := readStatus(bufio.NewReader(c))
	if err != nil || status != http.StatusMisdirectedRequest || !closes {
		t.Errorf("got %d, closes %v, %v, want 421 and the end of the connection", status, closes, err)
	}
	if read := s.Counts(); read.BodyBytes != 0 || read.DroppedBytes > maxLingerBytes {
		t.Errorf("got %+v, want no body read and %d bytes dropped at most", read, maxLingerBytes)
	}
}

// awaitNoConns waits until no connection is left.
func awaitNoConns(t *testing.T, s *Server) {
	t.Helper()
	for range 1000 {
		if len(s.snapshot()) == 0 {
			return
		}
		time.Sleep(testTimeout / 1000)
	}
	t.Errorf("%d connections are left", len(s.snapshot()))
}

// Each way in which a refused caller may hold its connection ends: the answer arrives at once,
// and the place is free after a while.
func TestRefusedCallerFreesPlace(t *testing.T) {
	const small, large = "POST /bad HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\npart", "POST /bad HTTP/1.1\r\nHost: h\r\nContent-Length: 8388608\r\n\r\npart"
	tests := []struct {
		name string
		send string
		// what the caller does after the header and a part of the body
		then func(c *net.TCPConn)
	}{
		{"a small body that never ends", small, func(*net.TCPConn) {}},
		{"a large body that never ends", large, func(*net.TCPConn) {}},
		{"a body without an end", large, func(c *net.TCPConn) {
			go func() {
				for part := make([]byte, 4096); ; {
					if _, err := c.Write(part); err != nil {
						return
					}
				}
			}()
		}},
		{"half-closed in a small body", small, func(c *net.TCPConn) { _ = c.CloseWrite() }},
		{"half-closed in a large body", large, func(c *net.TCPConn) { _ = c.CloseWrite() }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := listenWith(t, Options{Admit: admitGood, MaxConns: 8})
			c := dial(t, s)
			_, _ = c.Write([]byte(tt.send))
			status, _, err := readStatus(bufio.NewReader(c))
			if err != nil || status != http.StatusMisdirectedRequest {
				t.Fatalf("got %d, %v, want 421", status, err)
			}
			tt.then(c)
			awaitNoConns(t, s)
		})
	}
}

// A caller that never reads its answers is disconnected once they fill its socket.
func TestRefusedCallerNeverReads(t *testing.T) {
	s := listenWith(t, Options{Admit: admitGood, MaxConns: 8, WriteTimeout: 100 * time.Millisecond})
	c := dial(t, s)
	_ = c.SetReadBuffer(4096)
	go func() {
		for request := []byte(strings.Repeat("GET /bad HTTP/1.1\r\nHost: h\r\n\r\n", 100)); ; {
			if _, err := c.Write(request); err != nil {
				return
			}
		}
	}()
	for s.Counts().RefusedEarly == 0 {
		time.Sleep(time.Millisecond)
	}
	awaitNoConns(t, s)
}

// Close does not wait for callers whose bodies are still dropped.
func TestCloseWhileLingering(t *testing.T) {
	for _, length := range []int{100, largeBody} {
		s, err := Listen("127.0.0.1:0", Options{Limits: largeLimits, Admit: admitGood, MaxConns: 8})
		if err != nil {
			t.Fatal(err)
		}
		c := dial(t, s)
		_, _ = fmt.Fprintf(c, "POST /bad HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\npart", length)
		if status, _, err := readStatus(bufio.NewReader(c)); err != nil || status != http.StatusMisdirectedRequest {
			t.Fatalf("got %d, %v, want 421", status, err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		if err := s.Close(ctx); err != nil {
			t.Error(err)
		}
		if ctx.Err() != nil || len(s.snapshot()) != 0 {
			t.Errorf("Close returned after its time, or left %d connections", len(s.snapshot()))
		}
		cancel()
	}
}

// FuzzDroppedBody checks that every request seen on a connection whose requests are refused
// before their bodies begins where net/http sees a request.
func FuzzDroppedBody(f *testing.F) {
	const next = "GET /b HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, seed := range []string{
		"GET /a HTTP/1.1\r\nHost: h\r\n\r\n" + next,
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc" + next,
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 28\r\n\r\n" + next + next,
		"GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc" + next,
		"HEAD /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc" + next,
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + next,
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + next,
		"GET /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + next,
		"POST /a HTTP/1.0\r\nHost: h\r\nContent-Length: 3\r\nConnection: keep-alive\r\n\r\nabc" + next,
		"POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc" + next,
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 70000\r\n\r\n" + next,
		"POST /a HTTP/1.1\r\nHost: h\r\n\r\n" + next,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		var seen []string
		s := &Server{options: Options{
			Limits: func() wheelgauge.CallerLimits {
				return wheelgauge.CallerLimits{MaxHeaderBytes: 4096, MaxBodyBytes: 1 << 20}
			},
			Admit: func(_ context.Context, r *Request) func(context.Context) {
				seen = append(seen, string(r.Header().Method()))
				r.RespondError(wheelgauge.NewError(wheelgauge.ReasonResidency, wheelgauge.OutcomeNotRun, http.StatusMisdirectedRequest, ""))
				return nil
			},
		}}
		newConn(s, &bytesConn{in: bytes.NewReader(in)}).run(t.Context())
		other := bufio.NewReader(bytes.NewReader(in))
		for i, method := range seen {
			req, err := http.ReadRequest(other)
			if err != nil {
				return // rejected by net/http
			}
			if req.Method != method {
				t.Fatalf("%q: request %d is %q; net/http has %q", in, i, method, req.Method)
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil && i+1 < len(seen) {
				t.Fatalf("%q: net/http cannot read the body of request %d: %v", in, i, err)
			}
		}
	})
}
