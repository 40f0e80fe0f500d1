// Package connpeek checks without reading whether the peer of a connection has closed it.
package connpeek

import (
	"fmt"
	"net"
	"syscall"
)

// PeerClosed reports whether the peer closed or reset a connection that is not being read.
// It is always false for connections that cannot be peeked at, such as TLS.
func PeerClosed(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	gone := false
	// Control instead of Read: Read would fail on an expired read deadline.
	err = rc.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		gone = n == 0 && err == nil || err == syscall.ECONNRESET
	})
	return gone || err != nil
}

// Await waits without reading until data, the end of the stream or an error has arrived. Its
// error is that of the read deadline or of a closed connection. It returns at once for
// connections that cannot be peeked at.
func Await(c net.Conn) error {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return fmt.Errorf("await data: %w", err)
	}
	err = rc.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err != syscall.EAGAIN
	})
	if err != nil {
		return fmt.Errorf("await data: %w", err)
	}
	return nil
}

// Readable reports whether data, the end of the stream or an error has arrived on a
// connection that is not being read.
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
