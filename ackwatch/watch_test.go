package ackwatch

import (
	"net"
	"testing"
	"time"

	"wheelgauge/fake/deafconn"
)

const (
	limit = time.Second
	// slack allows for a busy machine.
	slack = 10 * time.Second
)

// A peer that is only slow or silent is never taken for gone.
func TestJudge(t *testing.T) {
	const interval = limit / looks
	tests := []struct {
		name string
		// at is what is seen at look n, from 1 on.
		at   func(n int) state
		gone bool
	}{
		{"nothing is owed, silent for long", func(n int) state { return state{heard: time.Duration(n) * time.Minute} }, false},
		{"one probe is unanswered", func(n int) state { return state{probes: 1, heard: time.Duration(n) * interval} }, false},
		{"window closed, each probe answered after a while", func(n int) state {
			return state{probes: n % 4, heard: time.Duration(n%4) * interval}
		}, false},
		{"bytes under way, acknowledged slowly", func(n int) state { return state{unacked: 9, heard: time.Duration(n%looks) * interval} }, false},
		{"bytes under way, data keep coming", func(int) state { return state{unacked: 9, heard: time.Millisecond} }, false},
		{"unanswered for less than the limit", func(n int) state { return state{unacked: 1, heard: min(time.Duration(n)*interval, limit-1)} }, false},
		{"this process stood still, one look", func(n int) state {
			if n == 5 {
				return state{unacked: 1, heard: time.Minute}
			}
			return state{heard: time.Minute}
		}, false},
		{"bytes are not acknowledged", func(n int) state { return state{unacked: 1, heard: time.Duration(n) * interval} }, true},
		{"probes are not answered", func(n int) state { return state{probes: n, heard: time.Duration(n) * interval} }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w, gone := New(limit), false
			for n := 1; n <= 4*looks && !gone; n++ {
				gone = w.judge(tt.at(n))
			}
			if gone != tt.gone {
				t.Errorf("taken for gone: %t, want %t", gone, tt.gone)
			}
		})
	}
}

func TestIsGone(t *testing.T) {
	tests := []struct {
		name string
		// deaf peers get nothing any more, full sockets have a peer that reads nothing.
		deaf, full bool
		sent       string
		gone       bool
	}{
		{"silent", false, false, "", false},
		{"silent, its bytes are acknowledged", false, false, "hello", false},
		{"reads nothing", false, true, "", false},
		{"gone with bytes under way", true, false, "hello", true},
		{"gone while it read nothing", true, true, "", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c, peer := pair(t)
			if tt.full {
				fill(t, c)
			}
			if tt.deaf {
				if err := deafconn.Deafen(peer); err != nil {
					t.Fatal(err)
				}
			}
			if _, err := c.Write([]byte(tt.sent)); err != nil && !tt.full {
				t.Fatal(err)
			}
			w, gone := New(limit), false
			for begun := time.Now(); !gone && time.Since(begun) < 3*limit || !gone && tt.gone && time.Since(begun) < slack; time.Sleep(w.Interval()) {
				gone = w.IsGone(c)
			}
			if gone != tt.gone {
				t.Errorf("taken for gone: %t, want %t", gone, tt.gone)
			}
		})
	}
}

// pair returns both ends of a connection.
func pair(t *testing.T) (c net.Conn, peer *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if c, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = c.Close(), accepted.Close() })
	return c, accepted.(*net.TCPConn)
}

// fill writes until the peer, which reads nothing, takes no more.
func fill(t *testing.T, c net.Conn) {
	t.Helper()
	part := make([]byte, 64<<10)
	for {
		_ = c.SetWriteDeadline(time.Now().Add(limit / 2))
		if _, err := c.Write(part); err != nil {
			break
		}
	}
	_ = c.SetWriteDeadline(time.Time{})
}
