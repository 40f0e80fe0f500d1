package routegate

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
)

var resetRounds = flag.Int("resets.rounds", 1, "how often each case of a broken-off answer is played with each size")

const (
	smallUpload = 900 << 10
	largeUpload = 4 << 20
	// partlyRead is what a server reads of a request that it does not read whole.
	partlyRead = 128 << 10
	// partOfAnswer is what comes of an answer that is broken off.
	partOfAnswer = "a part"
)

// serverEnd is how a server ends the connection of an answer.
type serverEnd string

const (
	endByReset serverEnd = "reset"
	// endByClose closes the connection; the kernel resets it if bytes are unread.
	endByClose serverEnd = "close"
	// endByHalfClose ends what is sent, reads the rest of the request, and closes.
	endByHalfClose serverEnd = "half-close"
)

// earlyServer answers each request before it has read more than a part of it.
type earlyServer struct {
	read  int64
	parts []string
	rest  time.Duration
	end   serverEnd
}

func (e earlyServer) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	req, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, req.Body, e.read)
	for _, part := range e.parts {
		_, _ = io.WriteString(c, part)
		time.Sleep(e.rest)
	}
	switch e.end {
	case endByReset:
		_ = c.(*net.TCPConn).SetLinger(0)
	case endByHalfClose:
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, req.Body)
	}
}

// upload sends a request with a body of the given size, and returns what the caller gets until its
// connection ends, and how it ends.
func upload(t *testing.T, c net.Conn, path string, size int) (string, error) {
	t.Helper()
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", path, size)
	return rawAnswer(t, c, head+strings.Repeat("x", size))
}

// A server that answers early, with an answer that ends with its connection, and breaks it off while
// the request is still being written.
func TestAnswerBrokenOffByAResetDuringAnUploadIsTakenForWhole(t *testing.T) {
	heads := []struct{ name, head string }{
		{"HTTP/1.1", openHead},
		{"HTTP/1.1, Connection: close", strings.Replace(openHead, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)},
		{"HTTP/1.0", openHead10},
	}
	paths := []struct{ path, part string }{{"/once/", partOfAnswer}, {"/safe/", partOfAnswer}, {"/stream/", eventOne}, {"/resume/", eventOne}}
	for _, p := range paths {
		for _, h := range heads {
			for _, read := range []int64{0, partlyRead} {
				for _, end := range []serverEnd{endByReset, endByClose} {
					t.Run(fmt.Sprint(p.path, " ", h.name, " read ", read, " ", end), func(t *testing.T) {
						t.Parallel()
						for round := range 2 * *resetRounds {
							size := []int{smallUpload, largeUpload}[round%2]
							rest := time.Duration(round/2%8) * 10 * time.Millisecond
							b := &backend{conn: listen(t, earlyServer{read: read, parts: []string{h.head + p.part}, rest: rest, end: end}.serve)}
							g, c := newGate(t, routes(), b, b)
							var ended endedLines
							g.options.Log = funcr.New(ended.write, funcr.Options{})
							answer, err := upload(t, c, p.path, size)
							if got, body := endingOf(answer, err); got == byClose || strings.HasPrefix(answer, "HTTP/1.1 200 ") && got != byReset {
								t.Errorf("%d bytes, reset after %v: the answer ends by %s after %q, want it refused or reset; %s", size, rest, got, body, logged(ended.await(t), "request_write"))
							}
						}
					})
				}
			}
		}
	}
}

// logged returns a field of a log line.
func logged(line, field string) string {
	_, rest, _ := strings.Cut(line, `"`+field+`"=`)
	value, err := strconv.QuotedPrefix(rest)
	if err != nil {
		return line
	}
	return field + "=" + value
}
