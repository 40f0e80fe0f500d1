package countconn

import (
	"fmt"
	"net"
)

func ExampleNew() {
	here, there := net.Pipe()
	var in, out int64
	c := New(here, func(n int64) { in += n }, func(n int64) { out += n })
	go func() { _, _ = there.Write([]byte("news")) }()
	_, _ = c.Read(make([]byte, 16))
	go func() { _, _ = there.Read(make([]byte, 16)) }()
	_, _ = c.Write([]byte("ok"))
	fmt.Println(in, out)
	// Output: 4 2
}
