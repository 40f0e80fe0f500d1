// Package callerconn tells whether the other side of a connection has left.
package callerconn

import (
	"net"
	"syscall"
)

// Gone peeks at a connection on which nobody reads now. Connections that
// cannot be peeked at, such as TLS, are never gone.
func Gone(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	gone := false
	// Control and not Read: a read deadline that is over says nothing here.
	err = rc.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		gone = n == 0 && err == nil || err == syscall.ECONNRESET
	})
	return gone || err != nil
}

// Readable tells whether bytes, an end or an error have come on a connection
// on which nobody reads now.
func Readable(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	readable := false
	err = rc.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		readable = err != syscall.EAGAIN
	})
	return readable || err != nil
}
