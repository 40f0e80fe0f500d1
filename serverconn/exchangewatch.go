package serverconn

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"wheelgauge/ackwatch"
	"wheelgauge/connclose"
)

// errUnanswered is a timeout of the network.
var errUnanswered = fmt.Errorf("the other machine answers nothing: %w", syscall.ETIMEDOUT)

// exchangeWatch ends the exchange in progress on a connection once the other machine is gone.
type exchangeWatch struct {
	net     net.Conn
	mu      sync.Mutex
	acks    ackwatch.Watch
	timer   *time.Timer
	running bool
	lost    bool
}

func (w *exchangeWatch) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.acks.Restart()
	w.running = true
	if w.timer == nil {
		w.timer = time.AfterFunc(w.acks.Interval(), w.look)
		return
	}
	w.timer.Reset(w.acks.Interval())
}

func (w *exchangeWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running = false
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *exchangeWatch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.running {
		return
	}
	if !w.acks.Gone(w.net) {
		w.timer.Reset(w.acks.Interval())
		return
	}
	w.running, w.lost = false, true
	connclose.ResetOnClose(w.net, true)    // the kernel need not go on sending
	_ = w.net.SetDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// isLost reports whether the exchange was ended.
func (w *exchangeWatch) isLost() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lost
}

// explain returns errUnanswered in place of an error that the watch caused.
func (w *exchangeWatch) explain(err error) error {
	if err != nil && w.isLost() {
		return errUnanswered
	}
	return err
}

// control calls f with the file descriptor of a connection.
func control(raw syscall.RawConn, f func(fd int) error) error {
	var inner error
	err := raw.Control(func(fd uintptr) { inner = f(int(fd)) })
	return errors.Join(err, inner)
}

// boundProbes makes the kernel send at least one window probe or retransmission in each
// maxProbeInterval; older kernels wait ever longer between two.
func boundProbes(_, _ string, raw syscall.RawConn) error {
	return control(raw, func(fd int) error {
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_RTO_MAX_MS, int(maxProbeInterval.Milliseconds()))
		return nil
	})
}

// closeWithin closes a connection. The kernel drops bytes that the other side has not taken after a
// time.
func closeWithin(c net.Conn, limit time.Duration) {
	if s, ok := c.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			// Fails only on a closed connection.
			_ = control(raw, func(fd int) error {
				return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
			})
		}
	}
	_ = c.Close() // a reader gets the error
}
