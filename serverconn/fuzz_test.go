package serverconn

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// bytesConn gives bytes to its reader.
type bytesConn struct {
	net.Conn
	in io.Reader
}

func (c *bytesConn) Read(p []byte) (int, error) { return c.in.Read(p) }

// FuzzAnswer: an answer that is taken for complete is one for another reader of HTTP too, with
// the same body, and what follows it is seen by both.
func FuzzAnswer(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 3\r\n\r\nabcde",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: +3\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\n\r\nuntil the end",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		if err := compare(in); err != nil {
			t.Fatal(err)
		}
	})
}

// compare returns an error if an answer that is taken for complete is not one for another
// reader of HTTP too, with the same body.
func compare(in []byte) error {
	c := &Conn{net: &bytesConn{in: bytes.NewReader(in)}, in: bufio.NewReaderSize(bytes.NewReader(in), readBuffer), reusable: true}
	h, b, err := c.ReadHead("Id", "", false)
	if err != nil {
		return nil
	}
	body, err := io.ReadAll(b)
	if err != nil {
		return nil // cut, and said so
	}
	other := bufio.NewReader(bytes.NewReader(in))
	resp, err := final(other)
	if err != nil {
		return fmt.Errorf("%q: complete with %q here, the other reader refuses it: %w", in, body, err)
	}
	otherBody, err := io.ReadAll(resp.Body)
	// The last chunk says that the body is whole; without the end of the trailers the
	// connection is not used again.
	if err != nil && b.Length() == -1 && !c.reusable && bytes.Equal(body, otherBody) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("%q: complete with %q here, the other reader's is cut: %w", in, body, err)
	}
	if resp.StatusCode != h.StatusCode() || !bytes.Equal(body, otherBody) {
		return fmt.Errorf("%q: status %d, body %q; the other reader has %d, %q", in, h.StatusCode(), body, resp.StatusCode, otherBody)
	}
	return nil
}

// final reads an answer past informational ones.
func final(in *bufio.Reader) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode >= 200 || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, err
		}
	}
}
