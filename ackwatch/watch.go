// Package ackwatch tells a connection whose other machine is gone from one whose peer is only slow
// or silent. TCP_USER_TIMEOUT does not: the kernel also ends by it a connection whose peer answers
// every probe and keeps its window closed.
package ackwatch

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// looks is how many looks in a row must find that the other machine owes an answer. They are
	// spread over the limit, so that time in which this process stood still counts as one look.
	looks = 5
	// minProbes is how many probes in a row must be unanswered: the kernel answers probes that
	// follow each other quickly only in part.
	minProbes = 2
)

// Watch looks at one connection every Interval. It is not safe for concurrent use.
type Watch struct {
	limit time.Duration
	owed  int
}

// New returns a watch that takes a machine for gone that has answered nothing for the limit.
func New(limit time.Duration) Watch { return Watch{limit: limit} }

// Interval returns the time between two looks.
func (w *Watch) Interval() time.Duration { return w.limit / looks }

// Restart forgets the looks so far.
func (w *Watch) Restart() { w.owed = 0 }

// IsTold reports whether the kernel tells the state of a connection.
func IsTold(c net.Conn) bool {
	_, ok := look(c)
	return ok
}

// IsGone looks at the connection, and reports whether the other machine is gone. It is always false
// for connections whose state the kernel does not tell.
func (w *Watch) IsGone(c net.Conn) bool {
	s, ok := look(c)
	return ok && w.judge(s)
}

// state is what the kernel knows of a connection.
type state struct {
	// unacked is the number of segments that are not acknowledged, probes that of window and
	// keep-alive probes sent since the last answer.
	unacked, probes int
	// heard is how long ago the other machine last sent anything.
	heard time.Duration
}

func (w *Watch) judge(s state) bool {
	if s.unacked == 0 && s.probes == 0 || s.heard < w.Interval() {
		w.owed = 0
		return false
	}
	w.owed++
	return w.owed >= looks && s.heard >= w.limit && (s.unacked > 0 || s.probes >= minProbes)
}

func look(c net.Conn) (s state, ok bool) {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return state{}, false
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return state{}, false
	}
	var info *unix.TCPInfo
	var inner error
	err = rc.Control(func(fd uintptr) { info, inner = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil || inner != nil {
		return state{}, false
	}
	heard := time.Duration(min(info.Last_ack_recv, info.Last_data_recv)) * time.Millisecond
	return state{unacked: int(info.Unacked), probes: int(info.Probes), heard: heard}, true
}
