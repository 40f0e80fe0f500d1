package responsehead

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"
)

// FuzzHead checks that a head that is accepted is one for net/http too, with the same status, and
// that Peek returns nothing beyond it.
func FuzzHead(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.0 200 OK\r\n\r\nuntil close",
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 599 \r\n\r\n",
		"HTTP/1.1 600 Odd\r\n\r\n",
		"HTTP/1.1 000 Zero\r\n\r\n",
		"HTTP/1.1 2000 Long\r\n\r\n",
		"HTTP/1.1 +20 Sign\r\n\r\n",
		"HTTP/2.0 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA\xc3: b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n",
		"HTTP/1.1 200 OK\n\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		head, err := Peek(bufio.NewReader(bytes.NewReader(in)))
		if err != nil {
			return
		}
		if !bytes.HasPrefix(in, head) || headEnd(head) != len(head) {
			t.Fatalf("%q: head %q", in, head)
		}
		if Check(head) != nil {
			return
		}
		resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), nil)
		if err != nil {
			t.Fatalf("%q: accepted, net/http rejects it: %v", head, err)
		}
		if status := Status(head); status != resp.StatusCode || status < 100 || status > 599 {
			t.Errorf("%q: status %d, net/http has %d", head, status, resp.StatusCode)
		}
	})
}
