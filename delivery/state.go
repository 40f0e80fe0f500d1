package delivery

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClose is the kernel's state of a connection that was reset.
const tcpClose = 7

// state is what the kernel knows of the bytes that were written to a connection.
type state struct {
	// acked is the number of bytes acknowledged, pending that of those that are not, also after a
	// reset.
	acked   uint64
	pending int
	reset   bool
}

// IsTold reports whether the kernel tells the state of a connection.
func IsTold(c net.Conn) bool {
	_, ok := look(c)
	return ok
}

func look(c net.Conn) (s state, ok bool) {
	conn, ok := c.(syscall.Conn)
	if !ok {
		return state{}, false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return state{}, false
	}
	var inner error
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		pending, pendingErr := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		if inner = errors.Join(infoErr, pendingErr); inner == nil {
			s = state{acked: info.Bytes_acked, pending: pending, reset: info.State == tcpClose}
		}
	})
	return s, err == nil && inner == nil
}
