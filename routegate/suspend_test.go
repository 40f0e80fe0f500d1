package routegate

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/fake/suspendclock"
)

// suspendingLimiter suspends the host while cap units are taken: after a request was admitted
// and before it is sent.
type suspendingLimiter struct {
	fakeLimiter
	clock    *suspendclock.Clock
	duration time.Duration
}

func (l *suspendingLimiter) Acquire(ctx context.Context, w *wheelgauge.Workspace, units float64) *wheelgauge.Error {
	l.clock.Suspend(l.duration)
	return l.fakeLimiter.Acquire(ctx, w, units)
}

// A request that expires while the host is suspended is not sent. Computed without the
// suspended time, its deadline would let a server work for a caller that no longer waits.
func TestSuspendedBeforeSending(t *testing.T) {
	tests := []struct {
		name    string
		suspend time.Duration
		status  int
		sent    int
	}{
		{"not suspended", 0, http.StatusOK, 1},
		{"for less than the time left", 3 * time.Second, http.StatusOK, 1},
		{"for longer than the time left", 6 * time.Second, http.StatusServiceUnavailable, 0},
		{"for a minute", time.Minute, http.StatusServiceUnavailable, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBackend(t)
			g, c := newGate(t, routes(), b)
			clock := &suspendclock.Clock{}
			g.options.Clock = clock
			withCaps(g, &suspendingLimiter{fakeLimiter: fakeLimiter{remaining: 9}, clock: clock, duration: tt.suspend})
			resp, _, err := get(t, c, "/safe/", "Wheelgauge-Key: capped-key\r\nWheelgauge-Deadline-Ms: 5000\r\n")
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != tt.status || len(b.received()) != tt.sent {
				t.Errorf("unexpected status %d after %d sends", resp.StatusCode, len(b.received()))
			}
			if tt.sent == 0 {
				return
			}
			left := b.received()[0].Get(wheelgauge.HeaderDeadlineMS)
			if limit := (5*time.Second - tt.suspend).Milliseconds(); len(left) == 0 || atoi(t, left) > limit {
				t.Errorf("the server got %s ms, %d are left", left, limit)
			}
		})
	}
}

// After a suspension a host does not know whether its configuration is the newest. It answers
// unknown keys with 503, so that callers try another host; they do not retry after a 401.
func TestKeysAfterSuspend(t *testing.T) {
	g, c := newGate(t, routes(), newBackend(t))
	clock := &suspendclock.Clock{}
	g.options.Clock = clock
	withWorkspaces(g)
	g.ConfirmConfig()
	steps := []struct {
		suspend time.Duration
		status  int
	}{
		{0, http.StatusUnauthorized},
		{3 * time.Second, http.StatusServiceUnavailable},
	}
	for _, s := range steps {
		clock.Suspend(s.suspend)
		resp, _, err := get(t, c, "/safe/", "Wheelgauge-Key: new-key\r\n")
		if err != nil || resp.StatusCode != s.status {
			t.Errorf("after %s: %v, %v, want %d", s.suspend, resp, err, s.status)
		}
	}
}

func atoi(t *testing.T, text string) int64 {
	t.Helper()
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// A request in flight that expired while the host was suspended is ended on waking, and the
// connection to its server closed; one with time left goes on.
func TestWakeEndsExpiredRequests(t *testing.T) {
	tests := []struct {
		name    string
		suspend time.Duration
		ended   int
		status  int
	}{
		{"has time left", 3 * time.Second, 0, http.StatusOK},
		{"has expired", 10 * time.Second, 1, http.StatusGatewayTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			received, answer, closed := make(chan struct{}), make(chan struct{}), make(chan struct{})
			b := &backend{conn: listen(t, func(c net.Conn) {
				defer c.Close()
				in := bufio.NewReader(c)
				if _, err := http.ReadRequest(in); err != nil {
					return
				}
				close(received)
				go func() {
					_, _ = in.ReadByte()
					close(closed)
				}()
				select {
				case <-answer:
					_, _ = io.WriteString(c, okAnswer)
					<-closed
				case <-closed:
				}
			})}
			g, c := newGate(t, routes(), b)
			clock := &suspendclock.Clock{}
			g.options.Clock = clock
			got := make(chan int, 1)
			go func() {
				resp, _, err := get(t, c, "/once/", "Wheelgauge-Deadline-Ms: 5000\r\n")
				if err != nil {
					t.Error(err)
					got <- 0
					return
				}
				got <- resp.StatusCode
			}()
			<-received
			clock.Suspend(tt.suspend)
			if ended := g.EndExpired(); ended != tt.ended {
				t.Errorf("%d requests ended, want %d", ended, tt.ended)
			}
			if tt.ended == 0 {
				close(answer)
			} else {
				<-closed
			}
			if status := <-got; status != tt.status {
				t.Errorf("got %d, want %d", status, tt.status)
			}
		})
	}
}
