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

// exchangeWatch ends the exchange in progress on a connection once the other machine is gone. Where
// the kernel tells the state of a connection, its own user timeout holds between exchanges only: it
// would also end one whose other side reads slowly, at once if an earlier window was closed as well.
type exchangeWatch struct {
	net net.Conn
	// raw is nil unless told is set.
	raw   syscall.RawConn
	limit time.Duration
	mu    sync.Mutex
	acks  ackwatch.Watch
	timer *time.Timer
	// told is set if the kernel tells the state of the connection, running during an exchange, lost
	// once the watch has ended an exchange.
	told, running, lost bool
}

func newExchangeWatch(c net.Conn, limit time.Duration) exchangeWatch {
	var raw syscall.RawConn
	told := false
	if s, ok := c.(syscall.Conn); ok && ackwatch.IsTold(c) {
		var err error
		raw, err = s.SyscallConn()
		told = err == nil
	}
	return exchangeWatch{net: c, raw: raw, limit: limit, acks: ackwatch.New(limit), told: told}
}

func (w *exchangeWatch) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.told {
		return
	}
	w.acks.Restart()
	w.running = true
	w.setUserTimeout(0)
	if w.timer == nil {
		w.timer = time.AfterFunc(w.acks.Interval(), w.look)
		return
	}
	w.timer.Reset(w.acks.Interval())
}

func (w *exchangeWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.running {
		return
	}
	w.running = false
	w.timer.Stop()
	w.setUserTimeout(w.limit)
}

// setUserTimeout sets how long the kernel waits for acknowledgements, 0 for as long as it likes. The
// lock must be held.
func (w *exchangeWatch) setUserTimeout(limit time.Duration) {
	_ = control(w.raw, func(fd int) error { return setUserTimeout(fd, limit) }) // fails only on a closed connection
}

func (w *exchangeWatch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.running {
		return
	}
	if !w.acks.IsGone(w.net) {
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

// setUserTimeout bounds how long the kernel waits for acknowledgements.
func setUserTimeout(fd int, limit time.Duration) error {
	return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
}

// control calls f with the file descriptor of a connection.
func control(raw syscall.RawConn, f func(fd int) error) error {
	var inner error
	err := raw.Control(func(fd uintptr) { inner = f(int(fd)) })
	return errors.Join(err, inner)
}

// prepare returns a dialer control that sets the user timeout, and makes the kernel send at least
// one window probe or retransmission in each maxProbeInterval; older kernels wait ever longer
// between two.
func prepare(userTimeout time.Duration) func(_, _ string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		return control(raw, func(fd int) error {
			_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_RTO_MAX_MS, int(maxProbeInterval.Milliseconds()))
			return setUserTimeout(fd, userTimeout)
		})
	}
}
