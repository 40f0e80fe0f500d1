package callerhttp

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/connpeek"
)

const (
	floodPlaces  = 16
	floodCallers = 8
)

// serveFlood serves requests of the path /bad/OWNER with a refusal, others with their bodies.
func serveFlood(_ context.Context, r *Request) func(context.Context) {
	_, owner, _ := strings.Cut(string(r.Header().RequestURI())[1:], "/")
	r.SetOwner(owner)
	return admitGood(context.Background(), r)
}

// A workspace fills all places with requests that may run nowhere; then others call, each on a
// new connection. Reading bodies first, none of them is served; nor are they by early refusal
// alone, as the connections are kept.
func TestFlood(t *testing.T) {
	slow := func(r string) string { return r + "part" }
	whole := func(r string) string { return r + strings.Repeat("x", 32<<10) }
	tests := []struct {
		name         string
		early, share bool
		body         func(r string) string
		served       int
	}{
		{"bodies first, slow", false, false, slow, 0},
		{"bodies first, whole", false, false, whole, 0},
		{"early, whole", true, false, whole, 0},
		{"early and shared, slow", true, true, slow, floodCallers},
		{"early and shared, whole", true, true, whole, floodCallers},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := Options{MaxConns: floodPlaces, ShareConns: tt.share}
			if tt.early {
				o.Admit = serveFlood
			} else {
				o.Serve = func(ctx context.Context, r *Request) {
					if serve := serveFlood(ctx, r); serve != nil {
						serve(ctx)
					}
				}
			}
			s := listenWith(t, o)
			for range floodPlaces {
				c := dial(t, s)
				_, _ = c.Write([]byte(tt.body("POST /bad/flood HTTP/1.1\r\nHost: h\r\nContent-Length: 32768\r\n\r\n")))
				if tt.early || tt.body("") != "part" {
					if status, _, err := readStatus(bufio.NewReader(c)); err != nil || status != http.StatusMisdirectedRequest {
						t.Fatalf("got %d, %v, want 421", status, err)
					}
				}
			}
			for !tt.early && len(s.snapshot()) < floodPlaces {
				time.Sleep(time.Millisecond)
			}
			served := 0
			for i := range floodCallers {
				c := dial(t, s)
				_, _ = fmt.Fprintf(c, "GET /good/%d HTTP/1.1\r\nHost: h\r\n\r\n", i)
				if status, _, err := readStatus(bufio.NewReader(c)); err == nil && status == http.StatusOK {
					served++
				}
			}
			if served != tt.served {
				t.Errorf("%d of %d other callers are served, want %d", served, floodCallers, tt.served)
			}
			if counts := s.Counts(); counts.TurnedAway != int64(floodCallers-tt.served) || tt.early && counts.BodyBytes != 0 {
				t.Errorf("got %+v, want %d turned away", counts, floodCallers-tt.served)
			}
		})
	}
}

// The bodies of refused requests take no memory.
func TestFloodMemory(t *testing.T) {
	const length, requests = 1 << 20, 16
	request := append([]byte("POST /bad HTTP/1.1\r\nHost: h\r\nContent-Length: 1048576\r\n\r\n"), make([]byte, length)...)
	allocated := map[bool]uint64{}
	for _, early := range []bool{false, true} {
		o := Options{MaxConns: floodPlaces, Serve: func(ctx context.Context, r *Request) { admitGood(ctx, r) }}
		if early {
			o.Admit = admitGood
		}
		s := listenWith(t, o)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range requests {
			c := dial(t, s)
			go func() { _, _ = c.Write(request) }()
			if status, _, err := readStatus(bufio.NewReader(c)); err != nil || status != http.StatusMisdirectedRequest {
				t.Fatalf("got %d, %v, want 421", status, err)
			}
			_ = c.Close()
		}
		runtime.ReadMemStats(&after)
		allocated[early] = after.TotalAlloc - before.TotalAlloc
		if got := s.Counts(); early && (got.BodyBytes != 0 || got.DroppedBytes > requests*maxLingerBytes) || !early && got.BodyBytes != requests*length {
			t.Errorf("early %v: got %+v", early, got)
		}
	}
	if allocated[true] > allocated[false]/4 {
		t.Errorf("%d bytes allocated, %d with bodies read, want a quarter at most", allocated[true], allocated[false])
	}
}

// One workspace has slow requests in progress. Beyond its share it is refused, and others find
// places.
func TestFloodOfWork(t *testing.T) {
	release := make(chan struct{})
	started := make(chan bool, floodPlaces)
	s := listenWith(t, Options{MaxConns: floodPlaces, ShareConns: true, Admit: func(_ context.Context, r *Request) func(context.Context) {
		_, owner, _ := strings.Cut(string(r.Header().RequestURI())[1:], "/")
		within := r.SetOwner(owner)
		if owner == "flood" {
			started <- within
		}
		if !within {
			r.RespondError(wheelgauge.NewError(wheelgauge.ReasonOverloaded, wheelgauge.OutcomeNotRun, http.StatusServiceUnavailable, ""))
			return nil
		}
		return func(ctx context.Context) {
			if owner == "flood" {
				<-release
			}
			echo(ctx, r)
		}
	}})
	within := 0
	for range floodPlaces {
		_, _ = dial(t, s).Write([]byte("GET /good/flood HTTP/1.1\r\nHost: h\r\n\r\n"))
		if <-started {
			within++
		}
	}
	if within != 12 {
		t.Errorf("%d requests of the flood in progress, want three quarters of %d places", within, floodPlaces)
	}
	for i := range floodCallers {
		c := dial(t, s)
		_, _ = fmt.Fprintf(c, "GET /good/%d HTTP/1.1\r\nHost: h\r\n\r\n", i%2)
		if status, _, err := readStatus(bufio.NewReader(c)); err != nil || status != http.StatusOK {
			t.Errorf("another caller got %d, %v, want 200", status, err)
		}
	}
	close(release)
}

// While places are short, refused callers lose their connections, so a workspace that is served
// keeps its own. If refused callers keep theirs, it loses some.
func TestRefusalsDoNotFillPlaces(t *testing.T) {
	const kept, refused = 6, 30
	tests := []struct {
		name   string
		refuse func(r *Request)
		keeps  bool
	}{
		{"refused callers keep connections", func(r *Request) { _ = r.Respond(http.StatusTooManyRequests, nil, nil) }, false},
		{"refusals end connections", func(r *Request) {
			r.RespondError(wheelgauge.NewError(wheelgauge.ReasonOverloaded, wheelgauge.OutcomeNotRun, http.StatusTooManyRequests, ""))
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := listenWith(t, Options{MaxConns: floodPlaces, ShareConns: true, Serve: func(ctx context.Context, r *Request) {
				_, owner, _ := strings.Cut(string(r.Header().RequestURI())[1:], "/")
				r.SetOwner(owner)
				if owner != "served" {
					tt.refuse(r)
					return
				}
				echo(ctx, r)
			}})
			// call returns whether it was answered, and whether the answer ends the connection.
			call := func(c *net.TCPConn, owner string) (answered, closes bool) {
				_, _ = fmt.Fprintf(c, "GET /good/%s HTTP/1.1\r\nHost: h\r\n\r\n", owner)
				_, closes, err := readStatus(bufio.NewReader(c))
				return err == nil, closes
			}
			var conns [kept]*net.TCPConn
			for i := range conns {
				conns[i] = dial(t, s)
				if answered, closes := call(conns[i], "served"); !answered || closes {
					t.Fatal("a caller without a flood is not served")
				}
			}
			for i := range refused {
				answered, closes := call(dial(t, s), fmt.Sprint(i))
				if !answered {
					t.Fatal("a refused caller got no answer")
				}
				for closes && len(s.snapshot()) >= floodPlaces*3/4 {
					time.Sleep(time.Millisecond)
				}
			}
			lost := 0
			for _, c := range conns {
				if answered, _ := call(c, "served"); !answered {
					lost++
				}
			}
			if (lost == 0) != tt.keeps {
				t.Errorf("%d of %d kept connections lost, want none: %v", lost, kept, tt.keeps)
			}
		})
	}
}

// A connection is not evicted once a byte of a request was read: the caller of many requests
// gets all answers, though new connections arrive all the time.
func TestRequestThatWasReadIsAnswered(t *testing.T) {
	const requests = 2000
	s := listenWith(t, Options{MaxConns: 1, ShareConns: true, Admit: func(_ context.Context, r *Request) func(context.Context) {
		r.RespondError(wheelgauge.NewError(wheelgauge.ReasonNotFound, wheelgauge.OutcomeNotRun, http.StatusNotFound, ""))
		return nil
	}})
	c := dial(t, s)
	go func() {
		_, _ = c.Write([]byte(strings.Repeat("POST /bad HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello", requests)))
	}()
	in := bufio.NewReader(c)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan bool)
	defer func() { cancel(); <-done }()
	for i := range requests {
		if status, _, err := readStatus(in); err != nil || status != http.StatusNotFound {
			t.Errorf("request %d: got %d, %v, want 404", i, status, err)
			break
		}
		if i > 0 {
			continue
		}
		go func() {
			defer close(done)
			for ctx.Err() == nil {
				if other, err := net.Dial("tcp", s.Address()); err == nil {
					_ = other.Close()
				}
			}
		}()
	}
}

func TestArriving(t *testing.T) {
	tests := []struct {
		name     string
		dropping bool
		send     string
		leave    bool
		want     bool
	}{
		{"nothing sent", false, "", false, false},
		{"a byte of a request", false, "G", false, true},
		{"a byte of a dropped body", true, "x", false, false},
		{"the caller left", false, "", true, false},
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
			defer c.Close()
			k := &conn{net: c}
			k.dropping.Store(tt.dropping)
			if _, err := caller.Write([]byte(tt.send)); err != nil {
				t.Fatal(err)
			}
			if tt.leave {
				_ = caller.Close()
			}
			if tt.leave || tt.send != "" {
				if err := connpeek.Await(c); err != nil {
					t.Fatal(err)
				}
			}
			if k.arriving() != tt.want {
				t.Errorf("got %v, want %v", k.arriving(), tt.want)
			}
		})
	}
}
