package responsehead

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
)

func TestCheck(t *testing.T) {
	tests := []struct {
		name string
		head string
		good bool
	}{
		{"a success", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", true},
		{"without a reason", "HTTP/1.1 200\r\n\r\n", true},
		{"lines that end with a line feed", "HTTP/1.1 200 OK\nX: y\n\n", true},
		{"an old version", "HTTP/1.0 200 OK\r\n\r\n", true},
		{"informational", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", true},
		{"the same length twice", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n", true},
		{"chunks and a length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", true},
		{"bytes above 127", "HTTP/1.1 200 OK\r\nX: \xe4\r\n\r\n", true},
		{"another version", "HTTP/5.1 200 OK\r\n\r\n", false},
		{"no status", "HTTP/1.1 OK 200\r\n\r\n", false},
		{"a status of no class", "HTTP/1.1 000 OK\r\n\r\n", false},
		{"the last status", "HTTP/1.1 599 Odd\r\n\r\n", true},
		{"the first status of no class", "HTTP/1.1 600 Odd\r\n\r\n", false},
		{"the last number of three digits", "HTTP/1.1 999 Odd\r\n\r\n", false},
		{"a status of four digits", "HTTP/1.1 2000 OK\r\n\r\n", false},
		{"another protocol", "HTTP/1.1 101 Switching Protocols\r\n\r\n", false},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\n", false},
		{"a length that is none", "HTTP/1.1 200 OK\r\nContent-Length: +3\r\n\r\n", false},
		{"a length that is too long", "HTTP/1.1 200 OK\r\nContent-Length: 1234567890123456789\r\n\r\n", false},
		{"a space before the colon", "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\n", false},
		{"a folded line", "HTTP/1.1 200 OK\r\nX: a\r\n b\r\n\r\n", false},
		{"a line without a colon", "HTTP/1.1 200 OK\r\nX\r\n\r\n", false},
		{"a control character", "HTTP/1.1 200 OK\r\nX: a\x00\r\n\r\n", false},
		{"another encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", false},
		{"chunks twice", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"chunks in an old version", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			head, err := Peek(bufio.NewReader(strings.NewReader(tt.head + "rest")))
			if err != nil || string(head) != tt.head {
				t.Fatalf("Peek: got %q, %v, want the head alone", head, err)
			}
			err = Check(head)
			if _, malformed := errors.AsType[*MalformedError](err); malformed == tt.good || (err == nil) != tt.good {
				t.Errorf("got %v, want a *ForeignError for invalid heads only", err)
			}
		})
	}
}

func TestPeekIncompleteHead(t *testing.T) {
	tests := []struct {
		name string
		in   string
		want error
	}{
		{"nothing", "", io.EOF},
		{"a part", "HTTP/1.1 200 OK\r\nX: y\r\n", io.ErrUnexpectedEOF},
		{"too much", strings.Repeat("x", 5000), bufio.ErrBufferFull},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if _, err := Peek(bufio.NewReader(strings.NewReader(tt.in))); !errors.Is(err, tt.want) {
				t.Errorf("got %v, want %v", err, tt.want)
			}
		})
	}
}
