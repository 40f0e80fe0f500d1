// Package answerhead looks at the heads of servers' answers before they are parsed.
package answerhead

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"
)

const (
	// startBytes are those of the shortest start line.
	startBytes = len("HTTP/1.1 200")
	// mostLength is how many digits a length may have: more are no length of an answer.
	mostLength = 18
)

// tokenBytes are the bytes that may stand in the name of a header.
var tokenBytes = func() (set [256]bool) {
	for _, c := range "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ" {
		set[c] = true
	}
	return set
}()

// Peek returns the head of the next answer with its empty line, without taking it: it holds
// until the next read.
func Peek(in *bufio.Reader) ([]byte, error) {
	for want := 1; ; want = in.Buffered() + 1 {
		if _, err := in.Peek(want); err != nil {
			if errors.Is(err, bufio.ErrBufferFull) {
				return nil, fmt.Errorf("a head of more than %d bytes: %w", in.Size(), err)
			}
			if errors.Is(err, io.EOF) && in.Buffered() > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		got, err := in.Peek(in.Buffered())
		if err != nil {
			return nil, err
		}
		if end := headEnd(got); end > 0 {
			return got[:end], nil
		}
	}
}

// headEnd returns where a head ends; 0 if that has not come.
func headEnd(b []byte) int {
	for at := 0; ; {
		n := bytes.IndexByte(b[at:], '\n')
		if n < 0 {
			return 0
		}
		at += n + 1
		for _, empty := range []string{"\n", "\r\n"} {
			if bytes.HasPrefix(b[at:], []byte(empty)) {
				return at + len(empty)
			}
		}
	}
}

// Status returns that of a head which Check has found good.
func Status(head []byte) int {
	status := 0
	for _, c := range head[startBytes-3 : startBytes] {
		status = 10*status + int(c-'0')
	}
	return status
}

// Check returns a *ForeignError for a head that is none, or that readers may take for answers
// of different lengths (RFC 9112, 2 to 6): the parser is lenient in both.
func Check(head []byte) error {
	start, rest, _ := bytes.Cut(head, []byte("\n"))
	start = bytes.TrimSuffix(start, []byte("\r"))
	if err := checkStart(start); err != nil {
		return err
	}
	var f framing
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			break
		}
		if err := f.line(line); err != nil {
			return err
		}
	}
	if f.chunked && bytes.HasPrefix(start, []byte("HTTP/1.0")) {
		return foreign("chunks in", start)
	}
	return nil
}

func checkStart(start []byte) error {
	if len(start) < startBytes || !bytes.HasPrefix(start, []byte("HTTP/1.1 ")) && !bytes.HasPrefix(start, []byte("HTTP/1.0 ")) {
		return foreign("version", start)
	}
	status, reason := start[startBytes-3:startBytes], start[startBytes:]
	if status[0] < '1' || status[0] > '9' || !digits(status) || len(reason) > 0 && reason[0] != ' ' || !text(reason) {
		return foreign("status", start)
	}
	if string(status) == "101" {
		return foreign("a protocol that nobody asked for", start)
	}
	return nil
}

// framing is what the lines of a head say of the length of the body.
type framing struct {
	length  []byte
	chunked bool
}

func (f *framing) line(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	value = bytes.Trim(value, " \t")
	if !ok || !token(name) || !text(value) {
		return foreign("header", line)
	}
	switch {
	case bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)):
		if len(value) == 0 || len(value) > mostLength || !digits(value) || f.length != nil && !bytes.Equal(f.length, value) {
			return foreign("length", line)
		}
		f.length = value
	case bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)):
		if f.chunked || !bytes.EqualFold(value, []byte("chunked")) {
			return foreign("encoding", line)
		}
		f.chunked = true
	}
	return nil
}

func digits(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

func token(b []byte) bool {
	for _, c := range b {
		if !tokenBytes[c] {
			return false
		}
	}
	return len(b) > 0
}

// text tells whether no control character but a tab stands in b.
func text(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
