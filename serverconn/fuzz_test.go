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

// bytesConn is a connection that reads from in.
type bytesConn struct {
	net.Conn
	in io.Reader
}

func (c *bytesConn) Read(p []byte) (int, error) { return c.in.Read(p) }

// FuzzAnswer checks that a response that counts as complete is complete for net/http too, with
// the same status and body.
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

// compare returns an error if a response counts as complete here and net/http rejects it,
// finds it truncated, or reads another status or body.
func compare(in []byte) error {
	conn := &bytesConn{in: bytes.NewReader(in)}
	c := &Conn{net: conn, in: bufio.NewReaderSize(conn, readBufferBytes), reusable: true}
	h, b, err := c.ReadHead("Id", "", false)
	if err != nil {
		return nil
	}
	body, err := io.ReadAll(b)
	if err != nil {
		return nil // truncated and reported as such
	}
	other := bufio.NewReader(bytes.NewReader(in))
	resp, err := readFinalResponse(other)
	if err != nil {
		return fmt.Errorf("%q: complete with body %q here, net/http rejects it: %w", in, body, err)
	}
	otherBody, err := io.ReadAll(resp.Body)
	// The last chunk completes the body. If the end of the trailers is missing, net/http
	// returns an error; here the connection is not reused.
	if err != nil && b.Length() == -1 && !c.reusable && bytes.Equal(body, otherBody) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("%q: complete with body %q here, net/http finds it truncated: %w", in, body, err)
	}
	if resp.StatusCode != h.StatusCode() || !bytes.Equal(body, otherBody) {
		return fmt.Errorf("%q: status %d, body %q; net/http has %d, %q", in, h.StatusCode(), body, resp.StatusCode, otherBody)
	}
	return nil
}

// readFinalResponse reads a response and skips informational ones.
func readFinalResponse(in *bufio.Reader) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode >= 200 || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, err
		}
	}
}
