package routegate

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"wheelgauge/callerhttp"
)

// endedLines are the lines of ended requests.
type endedLines struct {
	mu    sync.Mutex
	lines []string
}

func (l *endedLines) write(_, line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if strings.Contains(line, "Request ends.") {
		l.lines = append(l.lines, line)
	}
}

// await returns the first line.
func (l *endedLines) await(t *testing.T) string {
	t.Helper()
	for end := time.Now().Add(testLimit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		l.mu.Lock()
		lines := l.lines
		l.mu.Unlock()
		if len(lines) > 0 {
			return lines[0]
		}
	}
	t.Fatal("no request ends")
	return ""
}

// silentStream sends one event of a stream, and breaks off when breaks is closed.
func silentStream(t *testing.T, breaks <-chan struct{}) *backend {
	return &backend{conn: listen(t, func(c net.Conn) {
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = c.Write([]byte(streamHead + chunk("id: 1\ndata: x\n\n")))
		<-breaks
	})}
}

func TestLogTellsWhoEndedARequest(t *testing.T) {
	tests := []struct {
		name   string
		header string
		end    func(caller net.Conn, breakOff func(), stop func())
		want   ender
	}{
		{"the caller leaves", "", func(caller net.Conn, _, _ func()) { _ = caller.Close() }, endedByCaller},
		{"the server breaks off", "", func(_ net.Conn, breakOff, _ func()) { breakOff() }, endedByServer},
		{"the grace period ends", "", func(_ net.Conn, _, stop func()) { stop() }, endedByStop},
		{"the caller's time is over", "Wheelgauge-Deadline-Ms: 100\r\n", func(net.Conn, func(), func()) {}, endedByTime},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			breaks := make(chan struct{})
			breakOff := sync.OnceFunc(func() { close(breaks) })
			t.Cleanup(breakOff)
			var log endedLines
			g, _ := newGate(t, routes(), silentStream(t, breaks))
			g.options.Log = funcr.New(log.write, funcr.Options{})
			s, err := callerhttp.Listen("127.0.0.1:0", callerhttp.Options{Limits: g.Limits, Serve: g.Serve, MaxConns: 8})
			if err != nil {
				t.Fatal(err)
			}
			stop := sync.OnceFunc(func() {
				over, cancel := context.WithCancel(t.Context())
				cancel()
				_ = s.Close(over)
			})
			defer stop()
			caller, err := net.Dial("tcp", s.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer caller.Close()
			_ = caller.SetDeadline(time.Now().Add(testLimit))
			if _, err := fmt.Fprintf(caller, "GET /stream/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n%s\r\n", tt.header); err != nil {
				t.Fatal(err)
			}
			if _, err := http.ReadResponse(bufio.NewReader(caller), nil); err != nil {
				t.Fatal(err)
			}
			tt.end(caller, breakOff, stop)
			if line := log.await(t); !strings.Contains(line, fmt.Sprintf("%q=%q", "ended_by", tt.want)) {
				t.Errorf("got %s, want ended_by %q", line, tt.want)
			}
		})
	}
}
