// Package responsehead validates the heads of servers' responses before they are parsed.
package responsehead

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"
)

const (
	// minStartLineBytes is the size of the shortest status line.
	minStartLineBytes = len("HTTP/1.1 200")
	// maxLengthDigits bounds a Content-Length: more digits could overflow an int64.
	maxLengthDigits = 18
)

// tokenBytes are the bytes allowed in a header's name.
var tokenBytes = func() (set [256]bool) {
	for _, c := range "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ" {
		set[c] = true
	}
	return set
}()

// Peek returns the head of the next response, including its empty line, without consuming it.
// The slice is valid until the next read.
func Peek(in *bufio.Reader) ([]byte, error) {
	for want := 1; ; want = in.Buffered() + 1 {
		if _, err := in.Peek(want); err != nil {
			if errors.Is(err, bufio.ErrBufferFull) {
				return nil, fmt.Errorf("response head exceeds %d bytes: %w", in.Size(), err)
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

// headEnd returns the offset after the head, 0 if the head is incomplete.
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

// Status returns the status code of a head that passed Check.
func Status(head []byte) int {
	status := 0
	for _, c := range head[minStartLineBytes-3 : minStartLineBytes] {
		status = 10*status + int(c-'0')
	}
	return status
}

// Check returns a *MalformedError for a head that is not valid, or from which parsers may read
// different body lengths (RFC 9112, sections 2 to 6). fasthttp's parser accepts both.
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
		if err := f.addLine(line); err != nil {
			return err
		}
	}
	if f.chunked && bytes.HasPrefix(start, []byte("HTTP/1.0")) {
		return malformed("chunked coding in", start)
	}
	return nil
}

func checkStart(start []byte) error {
	if len(start) < minStartLineBytes || !bytes.HasPrefix(start, []byte("HTTP/1.1 ")) && !bytes.HasPrefix(start, []byte("HTTP/1.0 ")) {
		return malformed("version", start)
	}
	status, reason := start[minStartLineBytes-3:minStartLineBytes], start[minStartLineBytes:]
	if status[0] < '1' || status[0] > '5' || !isDigits(status) || len(reason) > 0 && reason[0] != ' ' || !isFieldText(reason) {
		return malformed("status", start)
	}
	if string(status) == "101" {
		return malformed("protocol switch that was not requested:", start)
	}
	return nil
}

// framing collects what the header says about the length of the body.
type framing struct {
	length  []byte
	chunked bool
}

func (f *framing) addLine(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	value = bytes.Trim(value, " \t")
	if !ok || !isToken(name) || !isFieldText(value) {
		return malformed("header", line)
	}
	switch {
	case bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)):
		if len(value) == 0 || len(value) > maxLengthDigits || !isDigits(value) || f.length != nil && !bytes.Equal(f.length, value) {
			return malformed("length", line)
		}
		f.length = value
	case bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)):
		if f.chunked || !bytes.EqualFold(value, []byte("chunked")) {
			return malformed("encoding", line)
		}
		f.chunked = true
	}
	return nil
}

func isDigits(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

func isToken(b []byte) bool {
	for _, c := range b {
		if !tokenBytes[c] {
			return false
		}
	}
	return len(b) > 0
}

// isFieldText reports whether b has no control characters other than tab.
func isFieldText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
