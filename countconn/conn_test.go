package countconn

import (
	"fmt"
	"net"
)

func ExampleNew() {
	local, remote := net.Pipe()
	var in, out int64
	c := New(local, func(n int64) { in += n }, func(n int64) { out += n })
	go func() { _, _ = remote.Write([]byte("news")) }()
	_, _ = c.Read(make([]byte, 16))
	go func() { _, _ = remote.Read(make([]byte, 16)) }()
	_, _ = c.Write([]byte("ok"))
	fmt.Println(in, out)
	// Output: 4 2
}
