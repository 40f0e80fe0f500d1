package httpfield

import (
	"bufio"
	"fmt"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

func TestValue(t *testing.T) {
	tests := []struct {
		head string
		name string
		want string
	}{
		{"X-Request-Id: a", "X-Request-Id", "[a]"},
		{"x-request-id: a", "X-Request-Id", "[a]"},
		{"X-REQUEST-ID: a", "X-Request-Id", "[a]"},
		{"x-request-id: a\r\nX-Request-Id: b", "X-Request-Id", "[a b]"},
		{"X-Request-Ids: a", "X-Request-Id", "[]"},
		{"X-Request-Id:", "X-Request-Id", "[]"},
		{"", "X-Request-Id", "[]"},
		{"Y: a", "", "[]"},
	}
	for _, tt := range tests {
		var h fasthttp.ResponseHeader
		h.DisableNormalizing()
		if err := h.Read(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + tt.head + "\r\n\r\n"))); err != nil && tt.head != "" {
			t.Fatal(err)
		}
		got := fmt.Sprintf("%s", Values(&h, tt.name))
		if got != tt.want {
			t.Errorf("%q: got %s, want %s", tt.head, got, tt.want)
		}
		if first, all := Value(&h, tt.name), Values(&h, tt.name); len(all) > 0 && string(first) != string(all[0]) {
			t.Errorf("%q: got first value %q, which is not the first of all", tt.head, first)
		}
	}
}
