package callerhttp

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"wheelgauge"
)

// bytesConn is a connection that reads from in and discards what is written.
type bytesConn struct {
	net.Conn
	in io.Reader
}

func (c *bytesConn) Read(p []byte) (int, error)       { return c.in.Read(p) }
func (c *bytesConn) Write(p []byte) (int, error)      { return len(p), nil }
func (c *bytesConn) Close() error                     { return nil }
func (c *bytesConn) SetReadDeadline(time.Time) error  { return nil }
func (c *bytesConn) SetWriteDeadline(time.Time) error { return nil }

// possibleLengths returns the body lengths that parsers could read from a header block. Parsers
// split lines in three ways, use the first or the last of several lengths, and let either
// Content-Length or Transfer-Encoding take precedence.
func possibleLengths(block string) map[string]bool {
	anyEnd := strings.NewReplacer("\r\n", "\n", "\r", "\n")
	out := map[string]bool{}
	for _, lines := range [][]string{strings.Split(block, "\r\n"), strings.Split(block, "\n"), strings.Split(anyEnd.Replace(block), "\n")} {
		var lengths, codings []string
		for _, line := range lines {
			name, value, _ := strings.Cut(line, ":")
			switch value = strings.TrimSpace(value); strings.ToLower(strings.TrimSpace(name)) {
			case "content-length":
				lengths = append(lengths, value)
			case "transfer-encoding":
				codings = append(codings, strings.ToLower(value))
			}
		}
		if len(lengths)+len(codings) == 0 {
			out["0"] = true
		}
		for _, all := range [][]string{lengths, codings} {
			if len(all) > 0 {
				out[all[0]], out[all[len(all)-1]] = true, true
			}
		}
	}
	return out
}

// FuzzFraming checks that an accepted request ends where net/http sees its end. If two parsers
// disagree, the bytes that follow are a request to one and a body to the other (request
// smuggling).
func FuzzFraming(f *testing.F) {
	for _, seed := range []string{
		"GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nrest",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nTrailer: 1\r\n\r\nrest",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST /a HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : 4\r\n\r\nbody",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4, 4\r\n\r\nbody",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nFFFFFFFFFFFFFFFF\r\nabc",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\ncontent-length: 4\r\n\r\nabcd",
		"POST /a HTTP/1.1\r\nHost: h\nContent-Length: 3\r\n\r\nabc",
		"POST /a HTTP/1.1\r\nHost: h\rContent-Length: 4\r\nContent-Length: 3\r\n\r\nabcd",
		"POST /a HTTP/1.1\r\nHost: h\r\nX: a\r\n Content-Length: 4\r\nContent-Length: 3\r\n\r\nabcd",
		"\r\n\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	s := &Server{options: Options{Limits: func() wheelgauge.CallerLimits {
		return wheelgauge.CallerLimits{MaxHeaderBytes: 4096, MaxBodyBytes: 4096}
	}}}
	f.Fuzz(func(t *testing.T, in []byte) {
		k := newConn(s, &bytesConn{in: bytes.NewReader(in)})
		r := &Request{conn: k}
		if !k.read(r) {
			return
		}
		if all := possibleLengths(string(r.Header().RawHeaders())); len(all) > 1 {
			t.Fatalf("%q: accepted, but parsers may read any of these body lengths: %v", in, all)
		}
		rest, err := io.ReadAll(k.in)
		if err != nil {
			t.Fatal(err)
		}
		other := bufio.NewReader(bytes.NewReader(in))
		req, err := http.ReadRequest(other)
		if err != nil {
			return // rejected by net/http
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			t.Fatalf("%q: net/http cannot read the body, which is %q here: %v", in, r.Body(), err)
		}
		otherRest, err := io.ReadAll(other)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(body, r.Body()) || !bytes.Equal(otherRest, rest) {
			t.Fatalf("%q: body %q, then %q; net/http has %q, then %q", in, r.Body(), rest, body, otherRest)
		}
		if req.Method != string(r.Header().Method()) || !strings.EqualFold(req.Host, string(r.Header().Host())) && !strings.Contains(req.RequestURI, "://") {
			t.Fatalf("%q: method %q, host %q; net/http has %q, %q", in, r.Header().Method(), r.Header().Host(), req.Method, req.Host)
		}
	})
}
