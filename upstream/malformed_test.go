package upstream

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/peerhttp"
)

// An answer that net/http refuses or parses differently must not be accepted as complete.
func TestMalformedAnswersAreNotAccepted(t *testing.T) {
	starts := []string{"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/5.1 200 OK", "HTTP/1.1 000 OK", "HTTP/1.0 101 0", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 2x0 OK", "ICY 200 OK", "HTTP/1.1 204 No Content", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK", "HTTP/1.1 100 Continue\r\n\r\nHTTP/5.1 200 OK"}
	heads := []string{
		"", "Content-Length: 3", "Content-Length : 3", "Content-Length: 3|Content-Length: 5", "Content-Length: +3", "Content-Length: 3,3", "Transfer-Encoding: chunked", "Transfer-Encoding : chunked",
		"Transfer-Encoding: gzip, chunked", "Transfer-Encoding: identity", "X: a|\tContent-Length: 3", "X: a\rContent-Length: 3", "Connection: close",
	}
	bodies := []string{"", "abc", "abcde", "3\r\nabc\r\n0\r\n\r\n"}
	for _, start := range starts {
		for _, head := range heads {
			for _, body := range bodies {
				lines := start + "\r\n"
				if head != "" {
					lines += strings.ReplaceAll(head, "|", "\r\n") + "\r\n"
				}
				in := lines + "\r\n" + body
				if err := compareReaders(t, in); err != nil {
					t.Errorf("%q: %v", in, err)
				}
			}
		}
	}
}

// compareReaders sends a call to a server that answers with the given bytes and closes. It returns
// an error if the answer is accepted but net/http refuses it or parses it differently.
func compareReaders(t *testing.T, in string) error {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, in)
		}
	}()
	p := New(peerhttp.NewDialer("", nil))
	defer p.CloseIdle()
	answer, err := p.Send(context.Background(), l.Addr().String(), &wheelgauge.Call{ID: "r", Method: http.MethodGet, Path: "/", Deadline: time.Now().Add(10 * time.Second)}, true)
	if err != nil {
		return nil
	}
	body, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close() // it was read to its end
	if err != nil {
		return nil // truncated, and reported as such
	}
	reference := bufio.NewReader(strings.NewReader(in))
	for {
		resp, err := http.ReadResponse(reference, nil)
		if err != nil {
			return fmt.Errorf("accepted with status %d, body %q, but net/http refuses it: %w", answer.Status, body, err)
		}
		if resp.StatusCode == http.StatusContinue {
			continue
		}
		referenceBody, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != answer.Status || !bytes.Equal(body, referenceBody) {
			return fmt.Errorf("got status %d, body %q; net/http has status %d, body %q, error %v", answer.Status, body, resp.StatusCode, referenceBody, err)
		}
		return nil
	}
}
