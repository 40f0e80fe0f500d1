package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/gate"
	"wheelgauge/httpserve"
	"wheelgauge/peerhttp"
)

const (
	openTestLimit = 10 * time.Second
	doneStream    = "data: a\n\ndata: [DONE]\n\n"
	eventHead     = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
)

// startScriptedServer answers each request with the given bytes and closes or resets its connection
// once release is closed.
func startScriptedServer(t *testing.T, answer string, reset bool, release <-chan struct{}) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			req, err := http.ReadRequest(bufio.NewReader(c))
			if err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(c, answer)
			}
			<-release
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// replyServer serves callers with what a backend server at an address answers.
func replyServer(t *testing.T, address string, claim *heldClaim) string {
	t.Helper()
	g, _ := newSendingGateway(t)
	g.serving = gate.New()
	g.client = peerhttp.NewClient(peerhttp.NewDialer("", nil), "")
	s, err := httpserve.Listen("127.0.0.1:0", func(ctx *fasthttp.RequestCtx) {
		g.serving.Enter()
		rq := newTestRequest(testCatalogAt(1, address), 1)
		rq.started = time.Now()
		rq.notRepeatable = claim != nil
		rq.target.Store(&target{region: "r0", server: "e0"})
		rq.call.Method, rq.call.Path = string(ctx.Method()), "/x"
		answer, err := g.servers.Send(g.ctx, address, &rq.call, true)
		if err != nil {
			g.finishWithError(ctx, rq, err)
			return
		}
		g.reply(ctx, rq, answer, claim)
	}, httpserve.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), openTestLimit)
		defer cancel()
		_ = s.Close(ctx)
	})
	return s.Address()
}

func TestAnswerIsFramedNoFurtherThanItsServerDid(t *testing.T) {
	large := strings.Repeat("x", maxBufferedBody+10)
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	tests := []struct {
		name   string
		answer string
		reset  bool
		status int
		framed bool
		broken bool
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false, 200, true, false},
		{"length, short", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false, 502, true, false},
		{"chunks", chunked + "2\r\nok\r\n0\r\n\r\n", false, 200, true, false},
		{"chunks without the last one", chunked + "2\r\nok\r\n", false, 502, true, false},
		{"chunks without the end of a line", chunked + "2\r\nok", false, 502, true, false},
		{"close", "HTTP/1.1 200 OK\r\n\r\nok", false, 200, false, false},
		{"close, HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nok", false, 200, false, false},
		{"close, a failure", "HTTP/1.1 404 Not Found\r\n\r\nok", false, 404, false, false},
		{"reset", "HTTP/1.1 200 OK\r\n\r\nok", true, 502, true, false},
		{"close, large", "HTTP/1.1 200 OK\r\n\r\n" + large, false, 200, false, false},
		{"reset, large", "HTTP/1.1 200 OK\r\n\r\n" + large, true, 200, false, true},
		{"length, large, short", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(large)+1, large), false, 200, true, true},
		{"stream", eventHead + "\r\n" + doneStream, false, 200, true, false},
		{"stream that ends inside an event", eventHead + "\r\n" + "data: a\n\ndata: [DO", false, 200, true, true},
		{"stream of chunks that ends early", eventHead + "Transfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n0\r\n\r\n", false, 200, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			release := make(chan struct{})
			if !tt.broken || !tt.reset {
				close(release)
			}
			c, err := net.Dial("tcp", replyServer(t, startScriptedServer(t, tt.answer, tt.reset, release), nil))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(openTestLimit))
			if _, err := io.WriteString(c, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			if tt.broken && tt.reset {
				close(release)
			}
			body, err := io.ReadAll(resp.Body)
			framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
			if resp.StatusCode != tt.status || framed != tt.framed || (err != nil) != tt.broken {
				t.Errorf("got %d, framed: %v, %d bytes, %v, want %d, framed: %v, broken: %v", resp.StatusCode, framed, len(body), err, tt.status, tt.framed, tt.broken)
			}
		})
	}
}

func TestAnswerWithoutAMarkedEndIsNotKept(t *testing.T) {
	tests := []struct {
		name   string
		answer string
		status int
		kept   int64
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 200, 1},
		{"close", "HTTP/1.1 200 OK\r\n\r\no", 200, 0},
		{"stream", eventHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(doneStream)) + doneStream, 200, 1},
		{"stream that ends early", eventHead + "Content-Length: 9\r\n\r\ndata: a\n\n", 502, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			recorded, release := make(chan struct{}, 1), make(chan struct{})
			close(release)
			store, err := httpserve.Listen("127.0.0.1:0", func(ctx *fasthttp.RequestCtx) {
				recorded <- struct{}{}
				ctx.SetBodyString("{}")
			}, httpserve.Options{})
			if err != nil {
				t.Fatal(err)
			}
			defer store.Close(t.Context())
			claim := &heldClaim{Claim: wheelgauge.Claim{Key: "k", State: wheelgauge.ClaimNew}, store: store.Address()}
			resp, err := http.Get("http://" + replyServer(t, startScriptedServer(t, tt.answer, false, release), claim) + "/x")
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if got := int64(len(recorded)); resp.StatusCode != tt.status || got != tt.kept {
				t.Errorf("got %d, recorded %d times, want %d, %d times", resp.StatusCode, got, tt.status, tt.kept)
			}
		})
	}
}

// A caller may rest while it reads an answer that ends with its connection for as long as its request
// has time left, and no longer.
func TestOpenAnswerIsBoundedByItsRequest(t *testing.T) {
	const rest = time.Second
	tests := []struct {
		name  string
		left  time.Duration
		whole bool
	}{
		{"time left", openTestLimit, true},
		{"time over while the caller rests", rest / 100, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			caller, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer caller.Close()
			c, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			written := make(chan error, 1)
			expires := time.Now().Add(tt.left)
			go func() {
				defer c.Close()
				written <- writeOpen(c, []byte("head"), strings.NewReader(strings.Repeat("x", 16<<20)), func() time.Time { return expires })
			}()
			if tt.whole {
				time.Sleep(rest)
				if _, err := io.Copy(io.Discard, caller); err != nil {
					t.Error(err)
				}
			}
			if err := <-written; (err == nil) != tt.whole {
				t.Errorf("got %v, want the whole answer written: %t", err, tt.whole)
			}
		})
	}
}
