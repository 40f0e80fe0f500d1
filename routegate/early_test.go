package routegate

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/callerhttp"
)

// exchangeEarly sends a request with its body and returns the answer without its length, and
// how many bytes of bodies were read for requests.
func exchangeEarly(t *testing.T, o callerhttp.Options, request string) (*http.Response, string, int64) {
	t.Helper()
	s, err := callerhttp.Listen("127.0.0.1:0", o)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), testLimit)
		defer cancel()
		_ = s.Close(ctx)
	}()
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testLimit))
	if _, err := c.Write([]byte(request)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body), s.Counts().BodyBytes
}

// A request gets the same answer whether it is decided before or after its body is read; a
// refusal that the header decides leaves the body unread.
func TestAnswersBeforeBody(t *testing.T) {
	const key = "Wheelgauge-Key: "
	tests := []struct {
		name      string
		prepare   func(g *Gate)
		path      string
		headers   string
		forwarded bool
		status    int
		bodyRead  bool
	}{
		{"served", withWorkspaces, "/safe/", key + "desk-key-1\r\n", false, 200, true},
		{"no configuration", func(g *Gate) { g.table.Store(nil) }, "/safe/", "", false, 503, false},
		{"no list of servers", func(g *Gate) { g.serversKnown.Store(false) }, "/safe/", "", false, 503, false},
		{"no route", withWorkspaces, "/none/", key + "desk-key-1\r\n", false, 404, false},
		{"no key", withWorkspaces, "/safe/", "", false, 401, false},
		{"an unknown key", withWorkspaces, "/safe/", key + "other\r\n", false, 401, false},
		{"no home in common", withWorkspaces, "/local/", key + "abroad-key\r\n", false, 421, false},
		{"no server at home", withWorkspaces, "/safe/", key + "abroad-key\r\n", false, 503, true},
		{"leaving", func(g *Gate) { g.ShutDownBy(time.Now()) }, "/safe/", "", false, 503, false},
		{"forwarded", withWorkspaces, "/safe/", "Wheelgauge-Workspace: desk\r\n", true, 200, true},
		{"forwarded, no home in common", withWorkspaces, "/local/", "Wheelgauge-Workspace: abroad\r\n", true, 421, false},
		{"forwarded, an unknown workspace", withWorkspaces, "/safe/", "Wheelgauge-Workspace: other\r\n", true, 503, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, _ := newGate(t, routes(), newBackend(t))
			g.startupDeadline = time.Now()
			g.ConfirmConfig()
			tt.prepare(g)
			late := callerhttp.Options{Limits: g.Limits, Serve: g.Serve, MaxConns: 8}
			early := late
			early.Admit = g.Admit
			if tt.forwarded {
				late.Serve, early.Serve, early.Admit = g.ServePeer, g.ServePeer, g.AdmitPeer
			}
			request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n%s\r\nbody", tt.path, tt.headers)
			want, wantBody, _ := exchangeEarly(t, late, request)
			got, gotBody, read := exchangeEarly(t, early, request)
			if want.StatusCode != tt.status || got.StatusCode != tt.status {
				t.Fatalf("got %d late and %d early, want %d", want.StatusCode, got.StatusCode, tt.status)
			}
			for _, name := range []string{wheelgauge.HeaderReason, wheelgauge.HeaderOutcome, "Retry-After", "Connection"} {
				if got.Header.Get(name) != want.Header.Get(name) {
					t.Errorf("%s: got %q early, %q late", name, got.Header.Get(name), want.Header.Get(name))
				}
			}
			if gotBody != wantBody && tt.bodyRead == false {
				t.Errorf("got %s early, %s late", gotBody, wantBody)
			}
			if (read > 0) != tt.bodyRead {
				t.Errorf("%d bytes of the body read, want it read: %v", read, tt.bodyRead)
			}
		})
	}
}

// While places are short, a workspace with more than its share of the requests in progress is
// refused as not run, and told when to return; another is served.
func TestWorkspaceAboveItsShare(t *testing.T) {
	tests := []struct {
		key    string
		status int
	}{
		{"desk-key-1", http.StatusServiceUnavailable},
		{"clinic-key", http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.key, func(t *testing.T) {
			g, _ := newGate(t, routes(), newBackend(t))
			withWorkspaces(g)
			held := make(chan struct{}, 1)
			o := callerhttp.Options{Limits: g.Limits, MaxConns: 2, ShareConns: true, Admit: func(ctx context.Context, r *callerhttp.Request) func(context.Context) {
				defer func() { held <- struct{}{} }()
				return g.Admit(ctx, r)
			}}
			s, err := callerhttp.Listen("127.0.0.1:0", o)
			if err != nil {
				t.Fatal(err)
			}
			defer func() {
				ctx, cancel := context.WithTimeout(context.Background(), testLimit)
				defer cancel()
				_ = s.Close(ctx)
			}()
			var conns [2]net.Conn
			for i := range conns {
				if conns[i], err = net.Dial("tcp", s.Address()); err != nil {
					t.Fatal(err)
				}
				defer conns[i].Close()
				_ = conns[i].SetDeadline(time.Now().Add(testLimit))
			}
			// Its body never comes, so it stays in progress.
			_, _ = conns[0].Write([]byte("POST /safe/ HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nWheelgauge-Key: desk-key-2\r\n\r\n"))
			<-held
			_, _ = fmt.Fprintf(conns[1], "GET /safe/ HTTP/1.1\r\nHost: h\r\nWheelgauge-Key: %s\r\n\r\n", tt.key)
			resp, err := http.ReadResponse(bufio.NewReader(conns[1]), nil)
			if err != nil || resp.StatusCode != tt.status {
				t.Fatalf("got %v, %v, want %d", resp, err, tt.status)
			}
			h := resp.Header
			if tt.status != http.StatusOK && (h.Get(wheelgauge.HeaderReason) != string(wheelgauge.ReasonOverloaded) ||
				h.Get(wheelgauge.HeaderOutcome) != string(wheelgauge.OutcomeNotRun) || h.Get("Retry-After") == "") {
				t.Errorf("got %v, want it refused as not run, with Retry-After", h)
			}
		})
	}
}

// A host that begins to leave while the body arrives refuses the request.
func TestLeavingWhileBodyArrives(t *testing.T) {
	b := newBackend(t)
	g, _ := newGate(t, routes(), b)
	o := callerhttp.Options{Limits: g.Limits, MaxConns: 8, Admit: func(ctx context.Context, r *callerhttp.Request) func(context.Context) {
		defer g.ShutDownBy(time.Now())
		return g.Admit(ctx, r)
	}}
	resp, _, _ := exchangeEarly(t, o, "POST /safe/ HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(wheelgauge.HeaderReason) != string(wheelgauge.ReasonDraining) || len(b.received()) > 0 {
		t.Errorf("got %d %v, sent to %d servers, want 503 with reason draining", resp.StatusCode, resp.Header, len(b.received()))
	}
}
