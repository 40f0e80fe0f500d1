// Package deafconn plays a machine that is gone: a connection that hears and answers nothing more.
package deafconn

import (
	"errors"
	"fmt"
	"net"

	"golang.org/x/sys/unix"
)

// Deafen makes the kernel drop every packet that arrives for the connection. It is never undone.
func Deafen(c *net.TCPConn) error {
	rc, err := c.SyscallConn()
	if err != nil {
		return fmt.Errorf("deafen: %w", err)
	}
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	var inner error
	err = rc.Control(func(fd uintptr) {
		inner = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(drop)), Filter: &drop[0]})
	})
	if err = errors.Join(err, inner); err != nil {
		return fmt.Errorf("deafen: %w", err)
	}
	return nil
}
